#pragma once

#include <glib.h>

/*
 * The story of one flow or one configuration version, from the log lines of several processes in any order.
 * Lines may begin with anything that a log collector puts there, such as the name of the VM.
 */

typedef enum
{
  OH_STORY_FLOW,    /* value is the caller's address IPV4:PORT */
  OH_STORY_VERSION, /* value is a configuration version, or the number of a publication */
} oh_story_kind_t;

typedef struct
{
  oh_story_kind_t kind;
  const char *value; /* must outlive the story */
  GPtrArray *lines;  /* of story_line_t, owned */
} oh_log_story_t;

void oh_log_story_init (oh_log_story_t *story, oh_story_kind_t kind, const char *value);
void oh_log_story_finish (oh_log_story_t *story);

/* Keeps the line if it belongs to the story. */
void oh_log_story_add (oh_log_story_t *story, const char *line);

/* The lines in the order of their times, each with the time since the first. Free with g_free. */
char *oh_log_story_format (oh_log_story_t *story);
