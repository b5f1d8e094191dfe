#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Structured logging in key=value format through GLib. A file that logs defines OH_LOG_MODULE before it
 * includes this header:
 *
 *   #define OH_LOG_MODULE "balancer"
 *   oh_log_info ("placement", "service=%s upstream=%s reason=%s", ...);
 *
 * A line holds the time, level, module and event, followed by the key=value pairs. Before oh_log_start, lines
 * go to GLib's default writer.
 */

typedef enum
{
  OH_LOG_ERROR,
  OH_LOG_WARNING,
  OH_LOG_INFO,
  OH_LOG_DEBUG,
} oh_log_level_t;

/*
 * Starts the writer thread, which writes lines from a bounded queue to fd. The macros below skip lines
 * that are less severe than level. While the queue is full, lines are dropped and counted; the writer logs
 * their total as event=lines_dropped. If the process that reads fd stalls, only the writer thread blocks.
 * Sets SIGPIPE and SIGXFSZ (a limit on the size of files) to be ignored for the rest of the process. fd is
 * borrowed until oh_log_stop.
 */
void oh_log_start (oh_log_level_t level, int fd);

/* Writes the queued lines and stops the writer thread. If fd accepts no data, the remaining lines are dropped
 * after 500 ms. */
void oh_log_stop (void);

/* Returns false and leaves *level unchanged unless name is error, warning, info or debug. */
bool oh_log_level_parse (const char *name, oh_log_level_t *level);
bool oh_log_enabled (oh_log_level_t level);

/* Number of lines dropped since the process started. */
uint64_t oh_log_dropped (void);

/* Logs one line whatever the enabled level; format yields key=value pairs separated by spaces. */
void oh_log_event (const char *module, oh_log_level_t level, const char *event, const char *format, ...)
  G_GNUC_PRINTF (4, 5);

/*
 * Rate-limited oh_log_event, for events that occur once per flow: each event name has a token bucket of 200
 * lines, refilled at 100 lines per second. Lines over the limit are suppressed; their number is logged as
 * event=lines_suppressed before the next line of that event.
 */
void oh_log_limited (const char *module, oh_log_level_t level, const char *event, const char *format, ...)
  G_GNUC_PRINTF (4, 5);

/* Logs one line if the level is enabled; otherwise the arguments are not evaluated. */
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
