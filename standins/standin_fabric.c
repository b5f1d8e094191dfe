#include <argp.h>
#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "adapters/udp.h"
#include "base/settings.h"

#define OH_LOG_MODULE "fabric"
#include "base/log.h"

/*
 * The fabric, the network between callers and balancers, for tests. Each datagram of a caller is forwarded to
 * a balancer chosen at random, and any balancer can answer it. Each caller gets a socket of its own, which
 * the balancers answer to. Datagrams are lost, delayed, duplicated and reordered as the rules file says. It
 * is read at start and on SIGHUP and has one rule on each line; a parameter that is left out keeps its value:
 *
 *   balancer IPV4:PORT [cut]      a balancer; with "cut", its datagrams are lost in both directions
 *   delay_us N                    one-way delay
 *   jitter_us N                   maximum additional delay, uniformly distributed; it reorders datagrams
 *   loss_ppm N                    share of datagrams that are lost, in each direction
 *   duplicate_ppm N               share of datagrams that are delivered twice
 *   reorder_ppm N                 share of datagrams that are delayed by another 5 ms
 *   blackhole ID DIRECTION PPM    applied once, if ID is greater than all before: from then on, this share of
 *                                 the callers known at this time loses all datagrams to the balancers, from
 *                                 them or both (DIRECTION: to, from, both); later callers are not affected
 */

const char *argp_program_version = "standin-fabric 0.1.0";

enum
{
  EXIT_USAGE = 2,
  PPM = 1000 * 1000,
  REORDER_US = 5000,
  US_PER_S = 1000 * 1000,
  CALLER_IDLE_US = 60 * US_PER_S, /* callers ping every second, even without requests */
  BATCH_EVENTS = 64,
  BATCH_DATAGRAMS = 64,
  WAIT_MAX_MS = 1000,
  DATAGRAM_MAX_BYTES = 2048,
};

typedef struct
{
  oh_address_t address;
  bool cut;
} balancer_t;

typedef struct
{
  oh_address_t address;
  int fd;                   /* sends to the balancers and receives their answers */
  int64_t last_received_us; /* from the caller */
  bool drops_to_balancers;
  bool drops_from_balancers;
  unsigned references; /* one of the table of callers, and one of each delayed datagram */
} caller_t;

typedef struct
{
  int64_t due_us;
  uint64_t order; /* of arrival, for datagrams that are due at the same time */
  caller_t *caller;
  bool to_balancer; /* or else to the caller */
  oh_address_t destination;
  size_t length;
  uint8_t bytes[];
} datagram_t;

typedef struct
{
  oh_address_t listen;
  const char *rules_path;
  uint64_t seed;
  GRand *rand;
  int fd; /* receives from callers and sends to them */
  int epoll_fd;
  GArray *balancers;   /* of balancer_t */
  GHashTable *callers; /* oh_address_t to caller_t */
  GSequence *delayed;  /* of datagram_t, by due time */
  uint64_t order;      /* of the next datagram */
  int64_t delay_us;
  int64_t jitter_us;
  int64_t loss_ppm;
  int64_t duplicate_ppm;
  int64_t reorder_ppm;
  int64_t last_blackhole_id;
  uint64_t n_lost;
  uint64_t n_forwarded;
} fabric_t;

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void
handle_signal (int number)
{
  if (number == SIGHUP)
    reload_requested = 1;
  else
    stop_requested = 1;
}

static guint
hash_address (gconstpointer key)
{
  const oh_address_t *address = key;

  return address->ipv4 * 31 + address->port;
}

static gboolean
equal_address (gconstpointer a, gconstpointer b)
{
  return oh_address_equal (*(const oh_address_t *)a, *(const oh_address_t *)b);
}

static void
caller_unref (gpointer data)
{
  caller_t *caller = data;

  if (--caller->references > 0)
    return;
  close (caller->fd);
  g_free (caller);
}

/* Draws at random: true with this probability, in parts per million. */
static bool
occurs (const fabric_t *fabric, int64_t ppm)
{
  return ppm > 0 && g_rand_int_range (fabric->rand, 0, PPM) < ppm;
}

static gint
compare_due_times (gconstpointer a, gconstpointer b, gpointer data)
{
  const datagram_t *first = a;
  const datagram_t *second = b;

  if (first->due_us != second->due_us)
    return first->due_us < second->due_us ? -1 : 1;
  return first->order < second->order ? -1 : first->order > second->order;
}

static void
deliver (const fabric_t *fabric, const datagram_t *datagram)
{
  oh_udp_send (datagram->to_balancer ? datagram->caller->fd : fabric->fd, datagram->destination,
               datagram->bytes, datagram->length);
}

static void
datagram_free (gpointer data)
{
  datagram_t *datagram = data;

  caller_unref (datagram->caller);
  g_free (datagram);
}

/* Queues the datagram for delivery after the delay that the rules give. */
static void
schedule (fabric_t *fabric, caller_t *caller, bool to_balancer, oh_address_t destination,
          const uint8_t *bytes, size_t length)
{
  datagram_t *datagram = g_malloc (sizeof *datagram + length);
  int64_t delay_us = fabric->delay_us;

  if (fabric->jitter_us > 0)
    delay_us += g_rand_int_range (fabric->rand, 0, (gint32)fabric->jitter_us + 1);
  if (occurs (fabric, fabric->reorder_ppm))
    delay_us += REORDER_US;
  *datagram = (datagram_t){
    .due_us = g_get_monotonic_time () + delay_us,
    .order = fabric->order++,
    .caller = caller,
    .to_balancer = to_balancer,
    .destination = destination,
    .length = length,
  };
  memcpy (datagram->bytes, bytes, length);
  caller->references++;
  g_sequence_insert_sorted (fabric->delayed, datagram, compare_due_times, NULL);
}

/* Schedules the datagram once, or twice if it is duplicated, unless it is lost. */
static void
forward (fabric_t *fabric, caller_t *caller, bool to_balancer, oh_address_t destination, const uint8_t *bytes,
         size_t length)
{
  if (occurs (fabric, fabric->loss_ppm))
    {
      fabric->n_lost++;
      return;
    }
  fabric->n_forwarded++;
  schedule (fabric, caller, to_balancer, destination, bytes, length);
  if (occurs (fabric, fabric->duplicate_ppm))
    schedule (fabric, caller, to_balancer, destination, bytes, length);
}

/* Returns NULL if there is no socket for a new caller. */
static caller_t *
find_or_add_caller (fabric_t *fabric, oh_address_t address)
{
  caller_t *caller = g_hash_table_lookup (fabric->callers, &address);
  struct epoll_event event = { .events = EPOLLIN };
  oh_error_t error;
  int fd;

  if (caller != NULL)
    return caller;
  fd = oh_udp_open ((oh_address_t){ .ipv4 = fabric->listen.ipv4 }, &error);
  if (fd < 0)
    {
      oh_log_warning ("caller_refused", "reason=\"%s\"", error.message);
      return NULL;
    }
  caller = g_new0 (caller_t, 1);
  caller->address = address;
  caller->fd = fd;
  caller->references = 1;
  event.data.ptr = caller;
  epoll_ctl (fabric->epoll_fd, EPOLL_CTL_ADD, fd, &event);
  g_hash_table_insert (fabric->callers, &caller->address, caller);
  return caller;
}

static void
receive_from_callers (fabric_t *fabric)
{
  uint8_t buffer[DATAGRAM_MAX_BYTES];
  oh_address_t from;

  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      const ssize_t length = oh_udp_receive (fabric->fd, &from, buffer, sizeof buffer);
      caller_t *caller;
      const balancer_t *balancer;

      if (length < 0)
        return;
      caller = find_or_add_caller (fabric, from);
      if (caller == NULL || fabric->balancers->len == 0 || length > DATAGRAM_MAX_BYTES)
        continue;
      caller->last_received_us = g_get_monotonic_time ();
      balancer = &g_array_index (fabric->balancers, balancer_t,
                                 g_rand_int_range (fabric->rand, 0, (gint32)fabric->balancers->len));
      if (balancer->cut || caller->drops_to_balancers)
        fabric->n_lost++;
      else
        forward (fabric, caller, true, balancer->address, buffer, (size_t)length);
    }
}

static bool
is_balancer_cut (const fabric_t *fabric, oh_address_t address)
{
  for (guint i = 0; i < fabric->balancers->len; i++)
    {
      const balancer_t *balancer = &g_array_index (fabric->balancers, balancer_t, i);

      if (oh_address_equal (balancer->address, address))
        return balancer->cut;
    }
  /* A balancer that was removed from the rules still answers what it received. */
  return false;
}

static void
receive_from_balancers (fabric_t *fabric, caller_t *caller)
{
  uint8_t buffer[DATAGRAM_MAX_BYTES];
  oh_address_t from;

  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      const ssize_t length = oh_udp_receive (caller->fd, &from, buffer, sizeof buffer);

      if (length < 0)
        return;
      if (caller->drops_from_balancers || is_balancer_cut (fabric, from) || length > DATAGRAM_MAX_BYTES)
        fabric->n_lost++;
      else
        forward (fabric, caller, false, caller->address, buffer, (size_t)length);
    }
}

static void
black_hole_callers (const fabric_t *fabric, const char *direction, int64_t ppm)
{
  GHashTableIter iter;
  gpointer value;
  unsigned n_affected = 0;

  g_hash_table_iter_init (&iter, fabric->callers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      caller_t *caller = value;

      if (!occurs (fabric, ppm))
        continue;
      caller->drops_to_balancers = caller->drops_to_balancers || strcmp (direction, "from") != 0;
      caller->drops_from_balancers = caller->drops_from_balancers || strcmp (direction, "to") != 0;
      n_affected++;
    }
  oh_log_info ("black_hole", "direction=%s callers=%u", direction, n_affected);
}

/* Returns false if the rule is invalid. */
static bool
apply_rule (fabric_t *fabric, char **words, guint n_words)
{
  const struct
  {
    const char *name;
    int64_t *value;
  } parameters[] = {
    { "delay_us", &fabric->delay_us },       { "jitter_us", &fabric->jitter_us },
    { "loss_ppm", &fabric->loss_ppm },       { "duplicate_ppm", &fabric->duplicate_ppm },
    { "reorder_ppm", &fabric->reorder_ppm },
  };
  balancer_t balancer = { 0 };
  gint64 id;
  gint64 ppm;

  for (size_t i = 0; i < G_N_ELEMENTS (parameters); i++)
    if (strcmp (words[0], parameters[i].name) == 0)
      return n_words == 2 && g_ascii_string_to_signed (words[1], 10, 0, 10 * PPM, parameters[i].value, NULL);
  if (strcmp (words[0], "balancer") == 0 && n_words >= 2 && oh_address_parse (words[1], &balancer.address))
    {
      balancer.cut = n_words == 3 && strcmp (words[2], "cut") == 0;
      g_array_append_val (fabric->balancers, balancer);
      return true;
    }
  if (strcmp (words[0], "blackhole") != 0 || n_words != 4
      || !g_ascii_string_to_signed (words[1], 10, 1, G_MAXINT64, &id, NULL)
      || !g_ascii_string_to_signed (words[3], 10, 0, PPM, &ppm, NULL))
    return false;
  if (id > fabric->last_blackhole_id)
    {
      fabric->last_blackhole_id = id;
      black_hole_callers (fabric, words[2], ppm);
    }
  return true;
}

static bool
load_rules (fabric_t *fabric)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  if (!g_file_get_contents (fabric->rules_path, &text, NULL, NULL))
    {
      oh_log_error ("rules_unreadable", "path=%s", fabric->rules_path);
      return false;
    }
  g_array_set_size (fabric->balancers, 0);
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      g_auto (GStrv) words = g_strsplit (g_strstrip (*line), " ", -1);
      const guint n_words = g_strv_length (words);

      if (n_words > 0 && !apply_rule (fabric, words, n_words))
        {
          oh_log_error ("rule_invalid", "path=%s line=%d", fabric->rules_path, (int)(line - lines) + 1);
          return false;
        }
    }
  oh_log_info ("rules_loaded", "balancers=%u loss_ppm=%" G_GINT64_FORMAT, fabric->balancers->len,
               fabric->loss_ppm);
  return true;
}

static void
deliver_due (fabric_t *fabric)
{
  const int64_t now_us = g_get_monotonic_time ();
  GSequenceIter *first;

  while (first = g_sequence_get_begin_iter (fabric->delayed), !g_sequence_iter_is_end (first))
    {
      const datagram_t *datagram = g_sequence_get (first);

      if (datagram->due_us > now_us)
        return;
      deliver (fabric, datagram);
      g_sequence_remove (first);
    }
}

static gboolean
is_caller_idle (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  return ((caller_t *)value)->last_received_us < *(const int64_t *)data;
}

/* Waits until a datagram arrives or is due. Delays need the resolution of epoll_pwait2: milliseconds are too
 * coarse. */
static int
wait_for_events (const fabric_t *fabric, struct epoll_event *events)
{
  GSequenceIter *first = g_sequence_get_begin_iter (fabric->delayed);
  struct timespec timeout = { .tv_sec = WAIT_MAX_MS / 1000 };

  if (!g_sequence_iter_is_end (first))
    {
      const int64_t wait_us
        = MAX (((const datagram_t *)g_sequence_get (first))->due_us - g_get_monotonic_time (), 0);

      timeout = (struct timespec){ .tv_sec = wait_us / US_PER_S, .tv_nsec = wait_us % US_PER_S * 1000 };
    }
  return epoll_pwait2 (fabric->epoll_fd, events, BATCH_EVENTS, &timeout, NULL);
}

static void
run (fabric_t *fabric)
{
  struct epoll_event events[BATCH_EVENTS];
  int64_t last_sweep_us = g_get_monotonic_time ();

  while (!stop_requested)
    {
      const int n = wait_for_events (fabric, events);
      const int64_t idle_since_us = g_get_monotonic_time () - CALLER_IDLE_US;

      for (int i = 0; i < n; i++)
        if (events[i].data.ptr == NULL)
          receive_from_callers (fabric);
        else
          receive_from_balancers (fabric, events[i].data.ptr);
      deliver_due (fabric);
      if (reload_requested)
        {
          reload_requested = 0;
          load_rules (fabric);
        }
      /* Idle callers are removed after all events of the batch, so that no event refers to a freed caller. */
      if (idle_since_us + CALLER_IDLE_US - last_sweep_us > US_PER_S)
        {
          last_sweep_us = idle_since_us + CALLER_IDLE_US;
          g_hash_table_foreach_remove (fabric->callers, is_caller_idle, (gpointer)&idle_since_us);
        }
    }
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  fabric_t *fabric = state->input;

  switch (key)
    {
    case 'l':
      if (!oh_address_parse (text, &fabric->listen))
        argp_error (state, "--listen \"%s\": expected IPV4:PORT", text);
      return 0;
    case 'r':
      fabric->rules_path = text;
      return 0;
    case 's':
      if (!g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT32, &fabric->seed, NULL))
        argp_error (state, "--seed \"%s\": expected an integer from 0 to %u", text, G_MAXUINT32);
      return 0;
    case ARGP_KEY_END:
      if (fabric->listen.port == 0 || fabric->rules_path == NULL)
        argp_error (state, "--listen and --rules are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "listen", 'l', "IPV4:PORT", 0, "Address for callers", 0 },
    { "rules", 'r', "FILE", 0, "Balancers and faults; reread on SIGHUP", 0 },
    { "seed", 's', "N", 0, "Seed of all random choices", 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Forwards datagrams of callers to balancers chosen at random, for tests.",
  };
  const struct sigaction action = { .sa_handler = handle_signal };
  struct epoll_event event = { .events = EPOLLIN };
  fabric_t fabric = { .fd = -1, .epoll_fd = -1 };
  int status = EXIT_FAILURE;
  oh_error_t error;

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &fabric);
  oh_log_start (OH_LOG_INFO, STDERR_FILENO);
  fabric.rand = g_rand_new_with_seed ((guint32)fabric.seed);
  fabric.balancers = g_array_new (FALSE, FALSE, sizeof (balancer_t));
  fabric.callers = g_hash_table_new_full (hash_address, equal_address, NULL, caller_unref);
  fabric.delayed = g_sequence_new (datagram_free);
  fabric.epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  fabric.fd = oh_udp_open (fabric.listen, &error);
  if (fabric.fd < 0)
    {
      oh_log_error ("listen_failed", "reason=\"%s\"", error.message);
      goto cleanup;
    }
  if (!load_rules (&fabric))
    goto cleanup;
  epoll_ctl (fabric.epoll_fd, EPOLL_CTL_ADD, fabric.fd, &event);
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  sigaction (SIGHUP, &action, NULL);
  run (&fabric);
  oh_log_info ("stopped", "forwarded=%" G_GUINT64_FORMAT " lost=%" G_GUINT64_FORMAT, fabric.n_forwarded,
               fabric.n_lost);
  status = EXIT_SUCCESS;

cleanup:
  g_sequence_free (fabric.delayed);
  g_hash_table_unref (fabric.callers);
  g_array_unref (fabric.balancers);
  g_rand_free (fabric.rand);
  if (fabric.fd >= 0)
    close (fabric.fd);
  if (fabric.epoll_fd >= 0)
    close (fabric.epoll_fd);
  oh_log_stop ();
  return status;
}
