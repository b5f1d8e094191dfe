#include "adapters/memory_storage.h"

static bool
persist (oh_storage_t *storage, const oh_persist_request_t *request, oh_error_t *error)
{
  (void)storage;
  (void)request;
  (void)error;
  return true;
}

void
oh_memory_storage_init (oh_memory_storage_t *storage, const char *name, oh_random_t *random,
                        oh_recovered_state_t *recovered)
{
  static const oh_storage_ops_t ops = { .persist = persist };

  storage->storage.ops = &ops;
  *recovered = (oh_recovered_state_t){
    .name = g_strdup (name),
    .id = oh_random_u64 (random) | 1, /* an id is never 0 */
    .entries = g_ptr_array_new_with_free_func (oh_entry_free),
  };
}
