#pragma once

#include <glib.h>

/*
 * Watches a settings file: reads it at a fixed interval and on SIGHUP, and calls back when its content has
 * changed, so that a change takes effect without the signal, too. Runs in the default main context.
 */

typedef struct
{
  char *path;
  char *content; /* as last read; NULL if the file could not be read at the start */
  void (*changed) (void *data);
  void *data;
  guint timer;
  guint signal;
} oh_settings_watch_t;

void oh_settings_watch_init (oh_settings_watch_t *watch, const char *path, void (*changed) (void *data),
                             void *data);
void oh_settings_watch_finish (oh_settings_watch_t *watch);
