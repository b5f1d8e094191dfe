#pragma once

#include <glib.h>

/*
 * Timeline of one flow or one configuration version, built from log lines of several processes in any order.
 * Lines may have any prefix that a log collector adds, such as the name of the VM.
 */

typedef enum
{
  OH_TIMELINE_FLOW,    /* value is the caller's address IPV4:PORT */
  OH_TIMELINE_VERSION, /* value is a configuration version, or the number of a publication */
} oh_timeline_kind_t;

typedef struct
{
  oh_timeline_kind_t kind;
  const char *value; /* must outlive the timeline */
  GPtrArray *lines;  /* of timeline_line_t *, owned */
} oh_log_timeline_t;

void oh_log_timeline_init (oh_log_timeline_t *timeline, oh_timeline_kind_t kind, const char *value);
void oh_log_timeline_finish (oh_log_timeline_t *timeline);

/* Adds the line if it belongs to the flow or version; ignores lines without a time. */
void oh_log_timeline_add (oh_log_timeline_t *timeline, const char *line);

/* Formats the lines in order of time, each with the seconds since the first. Free with g_free. */
char *oh_log_timeline_format (oh_log_timeline_t *timeline);
