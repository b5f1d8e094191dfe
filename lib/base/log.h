#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Key=value logging through GLib. A file that logs defines OH_LOG_MODULE at its top:
 *
 *   #define OH_LOG_MODULE "balancer"
 *   oh_log_info ("placement", "service=%s upstream=%s reason=%s", ...);
 *
 * A line reads: level, module, event=NAME, then the pairs. Without oh_log_start lines go to GLib's default
 * writer.
 */

typedef enum
{
  OH_LOG_ERROR,
  OH_LOG_WARNING,
  OH_LOG_INFO,
  OH_LOG_DEBUG,
} oh_log_level_t;

/*
 * Starts the writer thread: lines go to the descriptor through a bounded queue. A line that finds the queue
 * full is dropped and counted; the writer reports the number of dropped lines. A reader that does not read
 * blocks the writer thread only. SIGPIPE is ignored from here on.
 */
void oh_log_start (oh_log_level_t level, int fd);

/* Writes what is queued and stops the thread; gives up on a reader that does not read after 500 ms. */
void oh_log_stop (void);

bool oh_log_level_parse (const char *name, oh_log_level_t *level);
bool oh_log_enabled (oh_log_level_t level);
uint64_t oh_log_dropped (void);

void oh_log_event (const char *module, oh_log_level_t level, const char *event, const char *format, ...)
  G_GNUC_PRINTF (4, 5);

/*
 * As oh_log_event, for events that come with every flow: each kind of event has a token bucket of 200 lines,
 * filled with 100 a second. Lines beyond it are counted and the count is logged with the next line of the
 * kind, as event=lines_suppressed.
 */
void oh_log_limited (const char *module, oh_log_level_t level, const char *event, const char *format, ...)
  G_GNUC_PRINTF (4, 5);

#define oh_log_at(level, event, ...)                                                                         \
  G_STMT_START                                                                                               \
  {                                                                                                          \
    if (oh_log_enabled (level))                                                                              \
      oh_log_event (OH_LOG_MODULE, level, event, __VA_ARGS__);                                               \
  }                                                                                                          \
  G_STMT_END

#define oh_log_error(event, ...) oh_log_at (OH_LOG_ERROR, event, __VA_ARGS__)
#define oh_log_warning(event, ...) oh_log_at (OH_LOG_WARNING, event, __VA_ARGS__)
#define oh_log_info(event, ...) oh_log_at (OH_LOG_INFO, event, __VA_ARGS__)
#define oh_log_debug(event, ...) oh_log_at (OH_LOG_DEBUG, event, __VA_ARGS__)
