#pragma once

#include <glib.h>

/*
 * Calls back when the content of a settings file has changed, whether a signal told so or not. Runs in the
 * default main context.
 */

typedef struct
{
  char *path;
  char *content; /* at the last look; NULL if the file could not be read */
  void (*changed) (void *data);
  void *data;
  guint timer;
  guint signal;
} oh_settings_watch_t;

void oh_settings_watch_init (oh_settings_watch_t *watch, const char *path, void (*changed) (void *data),
                             void *data);
void oh_settings_watch_finish (oh_settings_watch_t *watch);
