#include "adapters/admin.h"

#include <arpa/inet.h>
#include <libsoup/soup.h>
#include <string.h>

struct oh_admin
{
  SoupServer *server;
  oh_counters_t *counters;
};

static void
handle_counters (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
                 gpointer data)
{
  oh_admin_t *admin = data;
  char *text = oh_counters_format (admin->counters);

  (void)server;
  (void)path;
  (void)query;
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_TAKE, text, strlen (text));
}

static void
handle_metrics (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
                gpointer data)
{
  oh_admin_t *admin = data;
  char *text = oh_counters_format_prometheus (admin->counters);

  (void)server;
  (void)path;
  (void)query;
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "text/plain; version=0.0.4", SOUP_MEMORY_TAKE, text,
                                    strlen (text));
}

static void
handle_health (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
               gpointer data)
{
  (void)server;
  (void)path;
  (void)query;
  (void)data;
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_STATIC, "ok\n", 3);
}

oh_admin_t *
oh_admin_start (oh_address_t address, oh_counters_t *counters, oh_error_t *error)
{
  oh_admin_t *admin = g_new0 (oh_admin_t, 1);
  const struct sockaddr_in native = {
    .sin_family = AF_INET,
    .sin_port = htons (address.port),
    .sin_addr.s_addr = htonl (address.ipv4),
  };
  g_autoptr (GSocketAddress) listen = g_socket_address_new_from_native ((gpointer)&native, sizeof native);
  g_autoptr (GError) gerror = NULL;

  admin->counters = counters;
  admin->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (admin->server, "/counters", handle_counters, admin, NULL);
  soup_server_add_handler (admin->server, "/metrics", handle_metrics, admin, NULL);
  soup_server_add_handler (admin->server, "/healthz", handle_health, admin, NULL);
  if (!soup_server_listen (admin->server, listen, 0, &gerror))
    {
      char text[OH_ADDRESS_TEXT_BYTES];

      oh_error_set (error, OH_ERROR_IO, OH_ERROR_CODE_SYSTEM,
                    "cannot listen on %s for the admin endpoint: %s", oh_address_format (address, text),
                    gerror->message);
      oh_admin_stop (admin);
      return NULL;
    }
  return admin;
}

void
oh_admin_stop (oh_admin_t *admin)
{
  if (admin == NULL)
    return;
  soup_server_disconnect (admin->server);
  g_object_unref (admin->server);
  g_free (admin);
}
