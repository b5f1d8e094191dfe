#include <glib/gstdio.h>
#include <unistd.h>

#include "base/settings.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

typedef struct
{
  char *name;
  int64_t slots;
  bool join;
  oh_address_t listen;
} settings_t;

static const oh_setting_t table[] = {
  { "agent", "name", OH_SETTING_STRING, offsetof (settings_t, name), true, NULL, 0, 0 },
  { "agent", "slots", OH_SETTING_INTEGER, offsetof (settings_t, slots), false, "4", 1, 64 },
  { "agent", "join", OH_SETTING_BOOLEAN, offsetof (settings_t, join), false, "false", 0, 0 },
  { "agent", "listen", OH_SETTING_ADDRESS, offsetof (settings_t, listen), false, NULL, 0, 0 },
};

/* Loads the input as a settings file. Settings are read by path, so the input is written to a file first. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static char *path;
  settings_t settings = { 0 };
  oh_error_t error = { 0 };

  if (path == NULL)
    {
      const int fd = g_file_open_tmp ("oh-fuzz-XXXXXX", &path, NULL);

      g_assert_cmpint (fd, >=, 0);
      close (fd);
    }
  FILE *file = g_fopen (path, "wb");
  g_assert_nonnull (file);
  g_assert_cmpuint (fwrite (data, 1, size, file), ==, size);
  g_assert_cmpint (fclose (file), ==, 0);
  if (oh_settings_load (path, table, G_N_ELEMENTS (table), &settings, &error))
    {
      g_assert_nonnull (settings.name);
      g_assert_true (settings.slots >= 1 && settings.slots <= 64);
    }
  else
    g_assert_cmpint (error.domain, !=, OH_ERROR_NONE);
  oh_settings_clear (table, G_N_ELEMENTS (table), &settings);
  return 0;
}
