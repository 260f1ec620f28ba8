/**
 * @file admin_server.c
 * HTTP server of the admin API: listens, authenticates and routes requests.
 */
#include "admin_server.h"
#include "admin_int.h"
#include "state/err.h"
#include "transport/log.h"
#include "transport/sock.h"
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#define API_PREFIX "/admin/v1/"

enum access
{
  ACCESS_PUBLIC, /* no token needed */
  ACCESS_READ,
  ACCESS_WRITE
};

struct route
{
  enum evhttp_cmd_type method;
  const char *path; /* a prefix when it ends in '/' */
  enum access access;
  void (*handle) (struct admin_request *request);
};

struct admin_pending_reply
{
  struct admin *admin;
  struct evhttp_connection *connection;
  struct evhttp_request *http; /* NULL once its connection is closed */
  struct admin_pending_reply *prev;
  struct admin_pending_reply *next;
};

/* A request whose response has not been written to its connection yet. */
struct unwritten
{
  struct evhttp_connection *connection;
  struct unwritten *prev;
  struct unwritten *next;
};

struct admin
{
  struct router *router;
  struct evhttp *server;
  struct unwritten *unwritten;
  struct admin_pending_reply *pending_replies;
  char address[CATALOG_ADDRESS_SIZE];
};

static int start (struct router *router);
static void finish (struct router *router);
static bool drained (const struct router *router);
static int start_listening (struct admin *admin, const char *address);
static void on_request (struct evhttp_request *http, void *arg);
static void route (struct admin *admin, struct evhttp_request *http,
                   const char *path, const char *query);
static const struct route *find_route (enum evhttp_cmd_type method,
                                       const char *path, bool *path_known);
static bool is_permitted (const struct settings_token *token,
                          enum access access);
static struct unwritten *
find_unwritten (struct admin *admin,
                const struct evhttp_connection *connection);
static void add_unwritten (struct admin *admin, struct evhttp_request *http);
static void remove_unwritten (struct admin *admin,
                              const struct evhttp_connection *connection);
static void on_written (struct evhttp_request *http, void *arg);
static void on_close (struct evhttp_connection *connection, void *arg);

const struct router_module admin_module = {
  .name = "admin", .start = start, .finish = finish, .drained = drained
};

static const struct route routes[] = {
  { EVHTTP_REQ_GET, "/healthz", ACCESS_PUBLIC, admin_healthz },
  { EVHTTP_REQ_GET, "/readyz", ACCESS_PUBLIC, admin_readyz },
  { EVHTTP_REQ_GET, "/metrics", ACCESS_PUBLIC, admin_metrics },
  { EVHTTP_REQ_GET, API_PREFIX "audit", ACCESS_READ, admin_audit },
  { EVHTTP_REQ_GET, API_PREFIX "status", ACCESS_READ, admin_status },
  { EVHTTP_REQ_GET, API_PREFIX "instances", ACCESS_READ, admin_instances },
  { EVHTTP_REQ_POST, API_PREFIX "drain", ACCESS_WRITE, admin_drain },
  { EVHTTP_REQ_GET, API_PREFIX, ACCESS_READ, admin_get_objects },
  { EVHTTP_REQ_PUT, API_PREFIX, ACCESS_WRITE, admin_put_object },
  { EVHTTP_REQ_DELETE, API_PREFIX, ACCESS_WRITE, admin_delete_object },
};

static int
start (struct router *router)
{
  const char *address = router->settings->router->admin_address;
  struct admin *admin;
  int error;

  if (address == NULL)
    return 0;
  admin = calloc (1, sizeof *admin);
  if (admin == NULL)
    return ERR_NO_MEMORY;
  admin->router = router;
  router->module_state[ROUTER_ADMIN] = admin;
  admin->server = evhttp_new (router->base);
  if (admin->server == NULL)
    return ERR_NO_MEMORY;
  evhttp_set_max_body_size (admin->server, ADMIN_BODY_MAX);
  evhttp_set_max_headers_size (admin->server, ADMIN_HEADER_MAX);
  evhttp_set_timeout (admin->server, ADMIN_TIMEOUT_S);
  evhttp_set_allowed_methods (admin->server, EVHTTP_REQ_GET | EVHTTP_REQ_PUT
                                                 | EVHTTP_REQ_DELETE
                                                 | EVHTTP_REQ_POST);
  evhttp_set_gencb (admin->server, on_request, admin);
  error = start_listening (admin, address);
  if (error == 0)
    LOG (LOG_LISTENING, NULL, LOG_S ("for", "admin"),
         LOG_S ("address", admin->address));
  else
    LOG (LOG_LISTEN_FAILED, NULL, LOG_S ("for", "admin"),
         LOG_S ("address", address), LOG_S ("error", err_name (error)));
  return error;
}

static int
start_listening (struct admin *admin, const char *address)
{
  int fd;
  int error = sock_listen (address, ADMIN_BACKLOG, &fd);

  if (error != 0)
    return error;
  if (evhttp_accept_socket (admin->server, fd) != 0)
    {
      close (fd);
      return ERR_IO;
    }
  return sock_local_address (fd, admin->address, sizeof admin->address);
}

static void
finish (struct router *router)
{
  struct admin *admin = router->module_state[ROUTER_ADMIN];
  struct admin_pending_reply *pending;
  struct admin_pending_reply *next;
  struct unwritten *unwritten;
  struct unwritten *next_unwritten;

  if (admin == NULL)
    return;
  if (admin->server != NULL)
    evhttp_free (admin->server);
  for (unwritten = admin->unwritten; unwritten != NULL;
       unwritten = next_unwritten)
    {
      next_unwritten = unwritten->next;
      free (unwritten);
    }
  for (pending = admin->pending_replies; pending != NULL; pending = next)
    {
      next = pending->next;
      free (pending);
    }
  free (admin);
  router->module_state[ROUTER_ADMIN] = NULL;
}

/* Connections time out, so a client that does not read delays a drain by
   ADMIN_TIMEOUT_S at most after what it read last. */
static bool
drained (const struct router *router)
{
  const struct admin *admin = router->module_state[ROUTER_ADMIN];

  return admin == NULL || admin->unwritten == NULL;
}

const char *
admin_server_address (const struct router *router)
{
  const struct admin *admin = router->module_state[ROUTER_ADMIN];

  return admin == NULL ? NULL : admin->address;
}

static void
on_request (struct evhttp_request *http, void *arg)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (http);
  const char *encoded_path = uri == NULL ? NULL : evhttp_uri_get_path (uri);
  char *path
      = encoded_path == NULL ? NULL : evhttp_uridecode (encoded_path, 0, NULL);

  add_unwritten (arg, http);
  if (path == NULL)
    admin_reply_error (http, HTTP_BADREQUEST, "bad_path",
                       "the path cannot be read", NULL);
  else
    route (arg, http, path, evhttp_uri_get_query (uri));
  free (path);
}

static void
route (struct admin *admin, struct evhttp_request *http, const char *path,
       const char *query)
{
  const struct settings_router *settings = admin->router->settings->router;
  bool path_known = false;
  const struct route *matched
      = find_route (evhttp_request_get_command (http), path, &path_known);
  struct admin_request request = {
    .router = admin->router, .admin = admin, .http = http, .query = query
  };

  if (matched == NULL || matched->access != ACCESS_PUBLIC)
    request.token = admin_auth (settings, http);
  if (request.token == NULL
      && (matched == NULL || matched->access != ACCESS_PUBLIC))
    {
      LOG (LOG_ADMIN_REFUSED, NULL, LOG_S ("path", path),
           LOG_S ("code", "token"));
      admin_reply_error (http, 401, "token", "token missing or unknown", NULL);
    }
  else if (matched == NULL)
    admin_reply_error (http, path_known ? HTTP_BADMETHOD : HTTP_NOTFOUND,
                       path_known ? "method" : "path",
                       path_known ? "method not allowed here" : "no such path",
                       NULL);
  else if (!is_permitted (request.token, matched->access))
    {
      LOG (LOG_ADMIN_REFUSED, NULL, LOG_S ("path", path),
           LOG_S ("operator", request.token->operator_name),
           LOG_S ("code", "role"));
      admin_reply_error (http, 403, "role", "this token may only read", NULL);
    }
  else
    {
      request.path_suffix = path + strlen (matched->path);
      matched->handle (&request);
    }
}

static const struct route *
find_route (enum evhttp_cmd_type method, const char *path, bool *path_known)
{
  size_t i;

  for (i = 0; i < sizeof routes / sizeof routes[0]; i++)
    {
      size_t length = strlen (routes[i].path);
      bool exact = routes[i].path[length - 1] != '/';

      if (strncmp (path, routes[i].path, length) != 0
          || (exact && path[length] != '\0'))
        continue;
      *path_known = true;
      if (routes[i].method == method)
        return &routes[i];
    }
  return NULL;
}

static bool
is_permitted (const struct settings_token *token, enum access access)
{
  return access != ACCESS_WRITE || token->role == SETTINGS_ROLE_WRITE;
}

struct admin_pending_reply *
admin_pending_reply_new (struct admin *admin, struct evhttp_request *http)
{
  struct admin_pending_reply *pending = calloc (1, sizeof *pending);

  if (pending == NULL)
    return NULL;
  pending->admin = admin;
  pending->connection = evhttp_request_get_connection (http);
  pending->http = http;
  DL_APPEND (admin->pending_replies, pending);
  return pending;
}

struct evhttp_request *
admin_pending_reply_finish (struct admin_pending_reply *pending)
{
  struct evhttp_request *http = pending->http;

  DL_DELETE (pending->admin->pending_replies, pending);
  free (pending);
  return http;
}

static struct unwritten *
find_unwritten (struct admin *admin,
                const struct evhttp_connection *connection)
{
  struct unwritten *unwritten;

  DL_FOREACH (admin->unwritten, unwritten)
    if (unwritten->connection == connection)
      return unwritten;
  return NULL;
}

/* evhttp handles one request of a connection at a time, but may report one
   twice.  If out of memory, a drain does not wait for the response. */
static void
add_unwritten (struct admin *admin, struct evhttp_request *http)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (http);
  struct unwritten *unwritten;

  evhttp_connection_set_closecb (connection, on_close, admin);
  evhttp_request_set_on_complete_cb (http, on_written, admin);
  if (find_unwritten (admin, connection) != NULL)
    return;
  unwritten = calloc (1, sizeof *unwritten);
  if (unwritten == NULL)
    return;
  unwritten->connection = connection;
  DL_APPEND (admin->unwritten, unwritten);
}

static void
remove_unwritten (struct admin *admin,
                  const struct evhttp_connection *connection)
{
  struct unwritten *unwritten = find_unwritten (admin, connection);

  if (unwritten == NULL)
    return;
  DL_DELETE (admin->unwritten, unwritten);
  free (unwritten);
}

static void
on_written (struct evhttp_request *http, void *arg)
{
  remove_unwritten (arg, evhttp_request_get_connection (http));
}

static void
on_close (struct evhttp_connection *connection, void *arg)
{
  struct admin *admin = arg;
  struct admin_pending_reply *pending;

  DL_FOREACH (admin->pending_replies, pending)
    if (pending->connection == connection)
      pending->http = NULL;
  remove_unwritten (admin, connection);
}
