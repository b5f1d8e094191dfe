#define OH_LOG_MODULE "test"

#include "adapters/flow_journal.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>

enum
{
  RECORD_BYTES = 26, /* three addresses of 6 bytes and a digest of 8 */
  WAIT_MS = 5000,
};

typedef struct
{
  unsigned n;
  oh_flow_key_t keys[OH_FLOW_JOURNAL_REWRITE_MIN_RECORDS * 2];
  oh_address_t owners[OH_FLOW_JOURNAL_REWRITE_MIN_RECORDS * 2];
} restored_t;

static restored_t restored;

static void
on_restored (void *data, const oh_flow_key_t *key, oh_address_t owner)
{
  restored_t *all = data;

  g_assert_cmpuint (all->n, <, G_N_ELEMENTS (all->keys));
  all->keys[all->n] = *key;
  all->owners[all->n++] = owner;
}

static oh_flow_key_t
numbered_key (unsigned i)
{
  return (oh_flow_key_t){
    .caller = { .ipv4 = 0x64400000 + i, .port = 1000 },
    .route = { .ipv4 = 0xc6120001, .port = 8443 },
  };
}

static oh_address_t
numbered_owner (unsigned i)
{
  return (oh_address_t){ .ipv4 = 0x0a000000 + i, .port = 8172 };
}

static void
add (oh_flow_journal_t *journal, unsigned first, unsigned n)
{
  for (unsigned i = first; i < first + n; i++)
    {
      const oh_flow_key_t key = numbered_key (i);

      oh_flow_journal_add (journal, &key, numbered_owner (i));
    }
}

/* Opens the journal and waits until the records of its file are restored. */
static void
open_journal (oh_flow_journal_t *journal, const char *folder)
{
  restored.n = 0;
  oh_flow_journal_init (journal, folder, on_restored, &restored);
  for (unsigned ms = 0; ms < WAIT_MS; ms++)
    {
      if (g_main_context_iteration (NULL, FALSE))
        return;
      g_usleep (1000);
    }
  g_error ("the journal was not read within %d ms", WAIT_MS);
}

/* Flips a bit of the byte at flip_at, unless that is below 0, and cuts bytes off the end of the file. */
static void
damage_file (const char *folder, gssize cut_bytes, gssize flip_at)
{
  g_autofree char *path = g_build_filename (folder, "flows", NULL);
  g_autofree char *content = NULL;
  gsize length;

  g_assert_true (g_file_get_contents (path, &content, &length, NULL));
  if (flip_at >= 0)
    content[flip_at] ^= 1;
  g_assert_true (g_file_set_contents (path, content, (gssize)length - cut_bytes, NULL));
}

static void
remove_folder (const char *folder)
{
  static const char *const names[] = { "flows", "flows.new" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autofree char *path = g_build_filename (folder, names[i], NULL);

      g_unlink (path);
    }
  g_rmdir (folder);
}

/* Each case writes records, damages the file and opens the journal again. */
static void
test_reopen (void)
{
  static const struct
  {
    const char *guards_against;
    unsigned records;
    gssize cut_bytes;
    gssize flip_at;    /* below 0: nothing is flipped */
    unsigned expected; /* records restored */
  } cases[] = {
    { "records that are lost when the process ends", 100, 0, -1, 100 },
    { "an empty journal that cannot be opened again", 0, 0, -1, 0 },
    { "an incomplete last record that makes the earlier ones unreadable", 100, 7, -1, 99 },
    { "a damaged record that is restored", 100, 0, 50 * RECORD_BYTES + 3, 99 },
    { "a record with a damaged digest that is restored", 100, 0, 51 * RECORD_BYTES - 1, 99 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *folder = g_dir_make_tmp ("oriolehaven-XXXXXX", NULL);
      oh_flow_journal_t journal;

      open_journal (&journal, folder);
      add (&journal, 0, cases[i].records);
      oh_flow_journal_flush (&journal);
      oh_flow_journal_finish (&journal);
      if (cases[i].records > 0)
        damage_file (folder, cases[i].cut_bytes, cases[i].flip_at);
      open_journal (&journal, folder);
      if (restored.n != cases[i].expected)
        g_error ("case %s: %u records, expected %u", cases[i].guards_against, restored.n, cases[i].expected);
      for (unsigned j = 0; j < restored.n; j++)
        {
          const unsigned number = restored.keys[j].caller.ipv4 - 0x64400000;
          const oh_flow_key_t key = numbered_key (number);

          g_assert_true (oh_flow_key_equal (&restored.keys[j], &key));
          g_assert_true (oh_address_equal (restored.owners[j], numbered_owner (number)));
        }
      /* Records that are appended after the cut are aligned. */
      add (&journal, 1000, 3);
      oh_flow_journal_flush (&journal);
      oh_flow_journal_finish (&journal);
      open_journal (&journal, folder);
      g_assert_cmpuint (restored.n, ==, cases[i].expected + 3);
      oh_flow_journal_finish (&journal);
      remove_folder (folder);
    }
}

/* Guards against a file that grows without bound, and against flows that are lost when it is rewritten. */
static void
test_rewrite (void)
{
  g_autofree char *folder = g_dir_make_tmp ("oriolehaven-XXXXXX", NULL);
  oh_flow_journal_t journal;

  open_journal (&journal, folder);
  add (&journal, 0, OH_FLOW_JOURNAL_REWRITE_MIN_RECORDS - 1);
  g_assert_false (oh_flow_journal_flush (&journal));
  add (&journal, 0, 1);
  g_assert_true (oh_flow_journal_flush (&journal));
  add (&journal, 5, 10);
  g_assert_false (oh_flow_journal_flush (&journal));
  add (&journal, 50, 1);
  g_assert_false (oh_flow_journal_flush (&journal));
  oh_flow_journal_finish (&journal);
  open_journal (&journal, folder);
  g_assert_cmpuint (restored.n, ==, 11);
  oh_flow_journal_finish (&journal);
  remove_folder (folder);
}

static void
limit_file_size (rlim_t bytes)
{
  struct rlimit limit;

  g_assert_cmpint (getrlimit (RLIMIT_FSIZE, &limit), ==, 0);
  limit.rlim_cur = MIN (bytes, limit.rlim_max);
  g_assert_cmpint (setrlimit (RLIMIT_FSIZE, &limit), ==, 0);
}

/* Flushes until a rewrite is due; false if none is for a long time. */
static bool
wait_rewrite_due (oh_flow_journal_t *journal)
{
  for (unsigned i = 0; i < 5000; i++)
    {
      if (oh_flow_journal_flush (journal))
        return true;
      g_usleep (1000);
    }
  return false;
}

/* Guards against a journal that lacks flows for good after its disk was full for a while, when it was opened
 * or later, and against a part of a new file that takes the space of others. */
static void
test_full_disk (void)
{
  static const struct
  {
    const char *guards_against;
    bool full_at_open;
  } cases[]
    = { { "a file that could not be created", true }, { "records that could not be written", false } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *folder = g_dir_make_tmp ("oriolehaven-XXXXXX", NULL);
      g_autofree char *new_path = g_build_filename (folder, "flows.new", NULL);
      oh_flow_journal_t journal;

      if (!cases[i].full_at_open)
        {
          open_journal (&journal, folder);
          add (&journal, 0, 10);
          oh_flow_journal_flush (&journal);
        }
      else
        {
          limit_file_size (0);
          open_journal (&journal, folder);
        }
      limit_file_size (0);
      add (&journal, 10, 20);
      if (!wait_rewrite_due (&journal))
        g_error ("case %s: no rewrite", cases[i].guards_against);
      add (&journal, 0, 30);
      g_assert_true (wait_rewrite_due (&journal));
      g_assert_cmpint (g_access (new_path, F_OK), !=, 0);
      limit_file_size (RLIM_INFINITY);
      add (&journal, 0, 30);
      oh_flow_journal_flush (&journal);
      oh_flow_journal_finish (&journal);
      open_journal (&journal, folder);
      g_assert_cmpuint (restored.n, >=, 30);
      oh_flow_journal_finish (&journal);
      remove_folder (folder);
    }
}

/* Guards against a balancer that cannot serve without a usable data folder. */
static void
test_without_disk (void)
{
  oh_flow_journal_t journal;

  oh_flow_journal_init (&journal, "", on_restored, &restored);
  add (&journal, 0, 10);
  g_assert_false (oh_flow_journal_flush (&journal));
  oh_flow_journal_finish (&journal);

  oh_flow_journal_init (&journal, "/proc/no-such-folder", on_restored, &restored);
  add (&journal, 0, 10);
  g_assert_false (oh_flow_journal_flush (&journal));
  for (unsigned ms = 0; ms < WAIT_MS && oh_counter_get (&journal.counters.dropped) < 10; ms++)
    {
      g_usleep (1000);
      g_assert_false (oh_flow_journal_flush (&journal));
    }
  g_assert_cmpuint (oh_counter_get (&journal.counters.dropped), ==, 10);
  oh_flow_journal_finish (&journal);
}

/* Guards against records that a loss of power takes away long after they were written: the callers of flows
 * that ended with it then wait for their deadlines. */
static void
test_synced (void)
{
  g_autofree char *folder = g_dir_make_tmp ("oriolehaven-journal-XXXXXX", NULL);
  oh_flow_journal_t journal;
  unsigned ms = 0;

  open_journal (&journal, folder);
  add (&journal, 0, 3);
  oh_flow_journal_flush (&journal);
  for (; ms < WAIT_MS && oh_counter_get (&journal.counters.syncs) == 0; ms++)
    {
      g_usleep (1000);
      oh_flow_journal_flush (&journal); /* without records; updates the counters */
    }
  g_assert_cmpuint (oh_counter_get (&journal.counters.syncs), ==, 1);
  oh_flow_journal_finish (&journal);
  remove_folder (folder);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_FATAL_MASK); /* the test provokes warnings */
  g_test_add_func ("/flow-journal/synced", test_synced);
  g_test_add_func ("/flow-journal/reopen", test_reopen);
  g_test_add_func ("/flow-journal/rewrite", test_rewrite);
  signal (SIGXFSZ, SIG_IGN);
  g_test_add_func ("/flow-journal/full-disk", test_full_disk);
  g_test_add_func ("/flow-journal/without-disk", test_without_disk);
  return g_test_run ();
}
