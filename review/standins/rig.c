#define _GNU_SOURCE
#include "rig.h"
#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ITEMS_MAX 256
#define EVENTS_MAX 4096
#define GATEWAYS_MAX 8

static FILE *record_file;
static double start_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double
clock_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

double
now_ms (void)
{
  if (start_ms == 0)
    start_ms = clock_ms ();
  return clock_ms () - start_ms;
}

void
sleep_ms (int ms)
{
  struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

  while (nanosleep (&ts, &ts) != 0 && errno == EINTR)
    ;
}

static void
vrecord (const char *format, va_list args)
{
  pthread_mutex_lock (&record_lock);
  if (record_file == NULL)
    {
      record_file = fopen ("record.txt", "w");
      if (record_file == NULL)
        record_file = stderr;
      setvbuf (record_file, NULL, _IOLBF, 0);
      signal (SIGPIPE, SIG_IGN);
    }
  fprintf (record_file, "%9.1f ", now_ms ());
  vfprintf (record_file, format, args);
  fputc ('\n', record_file);
  pthread_mutex_unlock (&record_lock);
}

void
record (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vrecord (format, args);
  va_end (args);
}

bool
trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

/* Sockets. */

static int
listen_anywhere (int receive_buffer, int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof receive_buffer);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 512) != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    cannot ("no port to listen on: %s", strerror (errno));
  *port = ntohs (address.sin_port);
  return fd;
}

static int
free_port (void)
{
  int port;
  int fd = listen_anywhere (0, &port);

  close (fd);
  return port;
}

static int
connect_to (int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
send_all (int fd, const void *data, size_t size)
{
  const char *at = data;
  ssize_t n;

  while (size > 0)
    {
      n = send (fd, at, size, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      at += n;
      size -= (size_t)n;
    }
  return true;
}

void
reset (int fd)
{
  const struct linger at_once = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

/* Reads a head, byte by byte, up to and with the empty line. */
static bool
read_head (int fd, char *head, size_t size)
{
  size_t used = 0;

  while (used + 1 < size)
    {
      ssize_t n = recv (fd, head + used, 1, 0);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      head[++used] = '\0';
      if (used >= 4 && memcmp (head + used - 4, "\r\n\r\n", 4) == 0)
        return true;
    }
  return false;
}

static bool
read_exactly (int fd, char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t n = recv (fd, data, size, 0);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      data += n;
      size -= (size_t)n;
    }
  return true;
}

char *
header (const char *head, const char *name, char *out, size_t size)
{
  size_t length = strlen (name);
  const char *line = strstr (head, "\r\n");
  const char *end;

  while (line != NULL)
    {
      line += 2;
      end = strstr (line, "\r\n");
      if (end == NULL || end == line)
        return NULL;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          line += length + 1;
          while (*line == ' ' || *line == '\t')
            line++;
          snprintf (out, size, "%.*s", (int)(end - line), line);
          return out;
        }
      line = end;
    }
  return NULL;
}

/* The store. */

struct item
{
  char key[256];
  char *value; /* base64 */
  long revision;
  long created;
  long lease;
};

struct event
{
  char key[256];
  char *value; /* NULL: deleted */
  long revision;
  long created;
  long lease;
};

struct lease
{
  double end_ms;
  long ttl_ms;
};

static struct item items[ITEMS_MAX];
static struct event events[EVENTS_MAX];
static struct lease leases[ITEMS_MAX];
static int item_count;
static int event_count;
static int lease_count;
static long revision = 10;
static int store_port;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static char *
base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t size = strlen (text);
  char *out = calloc (1, size * 4 / 3 + 8);
  size_t used = 0;
  size_t i;

  for (i = 0; i < size; i += 3)
    {
      unsigned int a = (unsigned char)text[i];
      unsigned int b = i + 1 < size ? (unsigned char)text[i + 1] : 0;
      unsigned int c = i + 2 < size ? (unsigned char)text[i + 2] : 0;

      out[used++] = digits[a >> 2];
      out[used++] = digits[(a & 3) << 4 | b >> 4];
      out[used++] = i + 1 < size ? digits[(b & 15) << 2 | c >> 6] : '=';
      out[used++] = i + 2 < size ? digits[c & 63] : '=';
    }
  return out;
}

/* With the lock held. */
static void
put_locked (const char *key, const char *value, long lease)
{
  struct event *event;
  int i;

  for (i = 0; i < item_count && strcmp (items[i].key, key) != 0; i++)
    ;
  if (i == ITEMS_MAX || event_count == EVENTS_MAX)
    return;
  revision++;
  if (i == item_count)
    {
      item_count++;
      snprintf (items[i].key, sizeof items[i].key, "%s", key);
      items[i].created = revision;
    }
  items[i].value = strdup (value);
  items[i].revision = revision;
  items[i].lease = lease;
  event = &events[event_count++];
  snprintf (event->key, sizeof event->key, "%s", key);
  event->value = items[i].value;
  event->revision = revision;
  event->created = items[i].created;
  event->lease = lease;
  pthread_cond_broadcast (&store_changed);
}

static void
remove_locked (const char *key)
{
  struct event *event;
  int i;

  for (i = 0; i < item_count && strcmp (items[i].key, key) != 0; i++)
    ;
  if (i == item_count || event_count == EVENTS_MAX)
    return;
  items[i] = items[--item_count];
  event = &events[event_count++];
  snprintf (event->key, sizeof event->key, "%s", key);
  event->value = NULL;
  event->revision = ++revision;
  pthread_cond_broadcast (&store_changed);
}

void
store_put (const char *key, const char *value)
{
  char *text = base64 (value);

  pthread_mutex_lock (&store_lock);
  put_locked (key, text, 0);
  pthread_mutex_unlock (&store_lock);
  free (text);
}

void
store_remove (const char *key)
{
  pthread_mutex_lock (&store_lock);
  remove_locked (key);
  pthread_mutex_unlock (&store_lock);
}

static void
query_value (const char *path, const char *name, char *out, size_t size)
{
  const char *at = strchr (path, '?');
  size_t length = strlen (name);
  size_t used = 0;

  out[0] = '\0';
  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          for (at += length + 1; *at != '\0' && *at != '&' && *at != ' '; at++)
            {
              unsigned int byte = (unsigned char)*at;

              if (*at == '%' && sscanf (at + 1, "%2x", &byte) == 1)
                at += 2;
              if (used + 1 < size)
                out[used++] = (char)byte;
            }
          out[used] = '\0';
          return;
        }
      at = strchr (at, '&');
    }
}

static json_t *
item_json (const char *key, const char *value, long at, long created,
           long lease)
{
  return value == NULL
             ? json_pack ("{s:s,s:I,s:b}", "key", key, "revision",
                          (json_int_t)at, "deleted", 1)
             : json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value", value,
                          "revision", (json_int_t)at, "created",
                          (json_int_t)created, "lease", (json_int_t)lease);
}

static int
compare_items (const void *a, const void *b)
{
  return strcmp (((const struct item *)a)->key, ((const struct item *)b)->key);
}

static json_t *
range (const char *path)
{
  json_t *list = json_array ();
  char prefix[256];
  char after[256];
  bool more = false;
  int i;

  query_value (path, "prefix", prefix, sizeof prefix);
  query_value (path, "after", after, sizeof after);
  qsort (items, (size_t)item_count, sizeof items[0], compare_items);
  for (i = 0; i < item_count; i++)
    {
      const struct item *item = &items[i];

      if (strncmp (item->key, prefix, strlen (prefix)) != 0
          || strcmp (item->key, after) <= 0)
        continue;
      json_array_append_new (list,
                             item_json (item->key, item->value, item->revision,
                                        item->created, item->lease));
    }
  return json_pack ("{s:o,s:b,s:I}", "entries", list, "has_more", more, "at",
                    (json_int_t)revision);
}

static json_t *
watch (const char *path)
{
  char prefix[256];
  char text[32];
  long after;
  double end_ms;
  int i;

  query_value (path, "prefix", prefix, sizeof prefix);
  query_value (path, "after", text, sizeof text);
  after = atol (text);
  query_value (path, "wait_ms", text, sizeof text);
  end_ms = now_ms () + atof (text);
  for (;;)
    {
      json_t *list = json_array ();
      struct timespec ts;

      for (i = 0; i < event_count; i++)
        if (events[i].revision > after
            && strncmp (events[i].key, prefix, strlen (prefix)) == 0)
          json_array_append_new (
              list, item_json (events[i].key, events[i].value,
                               events[i].revision, events[i].created,
                               events[i].lease));
      if (json_array_size (list) > 0 || now_ms () >= end_ms)
        return json_pack ("{s:o,s:I}", "events", list, "at",
                          (json_int_t)revision);
      json_decref (list);
      clock_gettime (CLOCK_REALTIME, &ts);
      ts.tv_nsec += 50000000;
      if (ts.tv_nsec >= 1000000000)
        {
          ts.tv_nsec -= 1000000000;
          ts.tv_sec++;
        }
      pthread_cond_timedwait (&store_changed, &store_lock, &ts);
    }
}

static int
transact (const json_t *body, json_t **out)
{
  const json_t *row;
  size_t i;
  int j;

  json_array_foreach (json_object_get (body, "expected_revision"), i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));
    long found = 0;

    for (j = 0; j < item_count; j++)
      if (strcmp (items[j].key, key) == 0)
        found = items[j].revision;
    if (found
        != (long)json_integer_value (json_object_get (row, "revision")))
      {
        *out = json_pack ("{s:[]}", "entries");
        return 412;
      }
  }
  json_array_foreach (json_object_get (body, "puts"), i, row)
      put_locked (json_string_value (json_object_get (row, "key")),
                  json_string_value (json_object_get (row, "value")),
                  (long)json_integer_value (json_object_get (row, "lease")));
  json_array_foreach (json_object_get (body, "remove"), i, row)
      remove_locked (json_string_value (row));
  *out = json_pack ("{s:I}", "revision", (json_int_t)revision);
  return 200;
}

static int
store_call (const char *path, const json_t *body, json_t **out)
{
  long number;

  if (strncmp (path, "/kv-range", 9) == 0)
    *out = range (path);
  else if (strncmp (path, "/kv-watch", 9) == 0)
    *out = watch (path);
  else if (strncmp (path, "/kv-txn", 7) == 0)
    return transact (body, out);
  else if (strncmp (path, "/kv-lease", 9) == 0 && lease_count < ITEMS_MAX)
    {
      long ttl
          = (long)json_integer_value (json_object_get (body, "ttl_ms"));

      leases[lease_count++]
          = (struct lease){ now_ms () + (double)ttl, ttl };
      *out = json_pack ("{s:i,s:I}", "lease", lease_count, "ttl_ms",
                        (json_int_t)ttl);
    }
  else if (sscanf (path, "/kv-keep/%ld", &number) == 1 && number > 0
           && number <= lease_count
           && leases[number - 1].end_ms > now_ms ())
    {
      leases[number - 1].end_ms
          = now_ms () + (double)leases[number - 1].ttl_ms;
      *out = json_pack ("{s:I}", "ttl_ms",
                        (json_int_t)leases[number - 1].ttl_ms);
    }
  else
    {
      *out = json_object ();
      return 404;
    }
  return 200;
}

static void *
serve_store_channel (void *arg)
{
  int fd = (int)(long)arg;
  char head[65536];
  char method[16];
  char path[4096];
  char text[32];
  char line[256];

  while (read_head (fd, head, sizeof head)
         && sscanf (head, "%15s %4095s", method, path) == 2)
    {
      size_t length = header (head, "Content-Length", text, sizeof text)
                          ? strtoul (text, NULL, 10)
                          : 0;
      char *data = calloc (1, length + 1);
      json_t *body = NULL;
      json_t *out = NULL;
      char *reply;
      int status;
      int size;

      if (!read_exactly (fd, data, length))
        {
          free (data);
          break;
        }
      body = json_loads (length > 0 ? data : "{}", 0, NULL);
      free (data);
      pthread_mutex_lock (&store_lock);
      status = store_call (path, body, &out);
      pthread_mutex_unlock (&store_lock);
      reply = json_dumps (out, JSON_COMPACT);
      size = snprintf (line, sizeof line,
                       "HTTP/1.1 %d Answer\r\nContent-Type: "
                       "application/json\r\nContent-Length: %zu\r\n\r\n",
                       status, strlen (reply));
      send_all (fd, line, (size_t)size);
      send_all (fd, reply, strlen (reply));
      free (reply);
      json_decref (out);
      json_decref (body);
    }
  close (fd);
  return NULL;
}

static void *
accept_store_channels (void *arg)
{
  int listener = (int)(long)arg;
  pthread_t thread;
  int fd;

  while ((fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      if (pthread_create (&thread, NULL, serve_store_channel,
                          (void *)(long)fd)
          != 0)
        close (fd);
      else
        pthread_detach (thread);
    }
  return NULL;
}

static void *
expire_leases (void *arg)
{
  int i;
  int j;

  (void)arg;
  for (;;)
    {
      sleep_ms (100);
      pthread_mutex_lock (&store_lock);
      for (i = 0; i < lease_count; i++)
        if (leases[i].end_ms <= now_ms ())
          for (j = item_count - 1; j >= 0; j--)
            if (items[j].lease == i + 1)
              remove_locked (items[j].key);
      pthread_mutex_unlock (&store_lock);
    }
  return NULL;
}

static void
start_thread (void *(*function) (void *), void *arg)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, function, arg) != 0)
    cannot ("no thread");
  pthread_detach (thread);
}

void
store_start (void)
{
  int fd = listen_anywhere (0, &store_port);

  record ("store listens on 127.0.0.1:%d", store_port);
  start_thread (accept_store_channels, (void *)(long)fd);
  start_thread (expire_leases, NULL);
}

void
put_config (int version)
{
  char text[4096];

  snprintf (
      text, sizeof text,
      "{\"version\":%d,"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000,"
      "\"tokens_per_s\":1000000},"
      "\"services\":[{\"name\":\"api\",\"health_path\":\"/health\"}],"
      "\"routes\":["
      "{\"name\":\"safe\",\"host\":\"shop.example\",\"prefix\":\"/safe/\","
      "\"service\":\"api\",\"route_type\":\"idempotent\","
      "\"max_attempts\":2,\"timeout_ms\":4000,\"target_latency_ms\":300,"
      "\"priority\":1},"
      "{\"name\":\"once\",\"host\":\"shop.example\",\"prefix\":\"/once/\","
      "\"service\":\"api\",\"route_type\":\"non_idempotent\","
      "\"max_attempts\":2,\"timeout_ms\":4000,\"target_latency_ms\":300,"
      "\"priority\":1}],"
      "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"]},"
      "{\"name\":\"t2\",\"api_keys\":[\"key-2\"]}]}",
      version);
  store_put ("op/config", text);
}

/* Servers. */

struct server
{
  char id[64];
  char service[64];
  int port;
  int listener;
  int channels;
  server_handler handler;
};

struct server_channel
{
  struct server *server;
  int fd;
  int number;
};

static void *
serve_channel (void *arg)
{
  struct server_channel *channel = arg;
  struct server_request *request = calloc (1, sizeof *request);
  char text[32];
  int count = 0;
  bool keep = true;

  while (keep && read_head (channel->fd, request->head, sizeof request->head))
    {
      request->server = channel->server;
      request->fd = channel->fd;
      request->channel = channel->number;
      request->number = ++count;
      request->method[0] = request->path[0] = '\0';
      sscanf (request->head, "%15s %4095s", request->method, request->path);
      if (header (request->head, "X-Attempt-Id", request->id,
                  sizeof request->id)
          == NULL)
        request->id[0] = '\0';
      request->length
          = header (request->head, "Content-Length", text, sizeof text)
                ? strtoul (text, NULL, 10)
                : 0;
      request->body = NULL;
      keep = channel->server->handler (request);
      free (request->body);
    }
  close (channel->fd);
  free (request);
  free (channel);
  return NULL;
}

static void *
accept_channels (void *arg)
{
  struct server *server = arg;
  int on = 1;
  int fd;

  while ((fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct server_channel *channel = calloc (1, sizeof *channel);

      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      channel->server = server;
      channel->fd = fd;
      channel->number = ++server->channels;
      start_thread (serve_channel, channel);
    }
  return NULL;
}

struct server *
server_start (const char *id, const char *service, int receive_buffer,
              server_handler handler)
{
  struct server *server = calloc (1, sizeof *server);
  char key[96];
  char value[512];

  snprintf (server->id, sizeof server->id, "%s", id);
  snprintf (server->service, sizeof server->service, "%s", service);
  server->handler = handler;
  server->listener = listen_anywhere (receive_buffer, &server->port);
  start_thread (accept_channels, server);
  snprintf (key, sizeof key, "servers/%s", id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"za\","
            "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"sequence\":1}",
            service, server->port);
  store_put (key, value);
  record ("server %s of service %s listens on 127.0.0.1:%d", id, service,
          server->port);
  return server;
}

const char *
server_id (const struct server *server)
{
  return server->id;
}

bool
read_body (struct server_request *request)
{
  request->body = calloc (1, request->length + 1);
  return read_exactly (request->fd, request->body, request->length);
}

bool
send_ok (struct server_request *request, const char *body)
{
  char *text;
  bool sent;
  int size = asprintf (&text,
                       "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                       "X-Worker-Signature: %s\r\nContent-Length: "
                       "%zu\r\n\r\n%s",
                       request->id, request->server->id, strlen (body), body);

  sent = send_all (request->fd, text, (size_t)size);
  free (text);
  return sent;
}

/* Gateways. */

static pid_t gateways[GATEWAYS_MAX];
static int gateway_count;

static void
end_gateways (void)
{
  int i;

  for (i = 0; i < gateway_count; i++)
    if (kill (gateways[i], SIGKILL) == 0)
      waitpid (gateways[i], NULL, 0);
  gateway_count = 0;
}

void
cannot (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vrecord (format, args);
  va_end (args);
  end_gateways ();
  exit (2);
}

void
gateway_start (struct gateway *gateway, const char *name)
{
  const char *program = getenv ("CHERRYLANDING");
  const char *folder = getenv ("WORK");
  int ready = free_port ();
  int peers = free_port ();
  char path[512];
  char log[512];
  FILE *file;
  int tries;

  if (program == NULL || folder == NULL)
    cannot ("CHERRYLANDING and WORK are not set");
  gateway->front = free_port ();
  snprintf (path, sizeof path, "%s/%s.json", folder, name);
  snprintf (log, sizeof log, "%s/%s.log", folder, name);
  file = fopen (path, "w");
  if (file == NULL)
    cannot ("%s: %s", path, strerror (errno));
  fprintf (file,
           "{\"node\":\"%s\",\"zone\":\"za\",\"region\":\"r\","
           "\"zones\":{\"za\":\"r\"},\"ip\":\"127.0.0.1\","
           "\"listen\":{\"front\":\"127.0.0.1:%d\","
           "\"ready\":\"127.0.0.1:%d\"},\"port_range\":[%d,%d],"
           "\"seeds\":[],\"bootstrap\":false,"
           "\"limits\":{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,"
           "\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},"
           "\"heartbeat_ms\":1200,"
           "\"bounds\":{\"contact_ms\":3000,\"drain_ms\":2000,\"grace_s\":8,"
           "\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
           "\"retry_budget_ratio\":0.2,\"budget_window_s\":10,"
           "\"retry_allowance\":54,\"reuse_window_s\":10,"
           "\"quota_window_s\":4},"
           "\"platform\":{\"address\":\"127.0.0.1:%d\",\"form\":\"kv\","
           "\"ttl_min_ms\":1000}}\n",
           name, gateway->front, ready, peers, peers + 15, store_port);
  fclose (file);
  gateway->pid = fork ();
  if (gateway->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      setenv ("CHERRYLANDING_CONFIG", path, 1);
      if (freopen (log, "w", stdout) == NULL || dup2 (1, 2) < 0)
        _exit (127);
      execl (program, program, "gateway", (char *)NULL);
      _exit (127);
    }
  if (gateway->pid < 0)
    cannot ("fork: %s", strerror (errno));
  gateways[gateway_count++] = gateway->pid;
  for (tries = 0; tries < 200; tries++)
    {
      int fd = connect_to (ready);
      char answer[64] = "";

      if (fd >= 0)
        {
          static const char question[]
              = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

          send_all (fd, question, sizeof question - 1);
          recv (fd, answer, sizeof answer - 1, 0);
          close (fd);
          if (strncmp (answer, "HTTP/1.1 200", 12) == 0)
            {
              record ("gateway %s is ready, process %d, clients at "
                      "127.0.0.1:%d",
                      name, (int)gateway->pid, gateway->front);
              sleep_ms (300);
              return;
            }
        }
      sleep_ms (50);
    }
  cannot ("gateway %s is not ready", name);
}

bool
gateway_runs (const struct gateway *gateway)
{
  return waitpid (gateway->pid, NULL, WNOHANG) == 0;
}

int
finish (bool broken, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vrecord (format, args);
  va_end (args);
  record ("the rule %s", broken ? "was broken" : "held");
  end_gateways ();
  return broken ? 1 : 0;
}

/* Clients. */

int
client_connect (const struct gateway *gateway)
{
  int fd = connect_to (gateway->front);

  if (fd < 0)
    cannot ("no channel to the gateway");
  return fd;
}

/* Reads at least a byte within the time; 0 at the end, -1 on an error or when
   the time is over. */
static ssize_t
read_some (int fd, char *data, size_t size, double end_ms)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  double left = end_ms - now_ms ();

  if (left <= 0 || poll (&poll_fd, 1, (int)left + 1) != 1)
    return -1;
  return recv (fd, data, size, 0);
}

static bool
read_bytes (int fd, char *data, size_t size, double end_ms)
{
  while (size > 0)
    {
      ssize_t n = read_some (fd, data, size, end_ms);

      if (n <= 0)
        return false;
      data += n;
      size -= (size_t)n;
    }
  return true;
}

/* Reads up to and with CRLF. */
static bool
read_line (int fd, char *line, size_t size, double end_ms)
{
  size_t used = 0;

  while (used + 1 < size && read_bytes (fd, line + used, 1, end_ms))
    {
      line[++used] = '\0';
      if (used >= 2 && line[used - 2] == '\r' && line[used - 1] == '\n')
        return true;
    }
  return false;
}

void
read_answer (int fd, struct answer *answer, int timeout_ms)
{
  double begin = now_ms ();
  double end = begin + timeout_ms;
  char line[4096];
  char text[64];
  size_t used = 0;
  size_t length;

  memset (answer, 0, sizeof *answer);
  answer->body = calloc (1, 1);
  while (read_line (fd, line, sizeof line, end)
         && used + strlen (line) < sizeof answer->head)
    {
      strcpy (answer->head + used, line);
      used += strlen (line);
      if (strcmp (line, "\r\n") == 0)
        {
          sscanf (answer->head, "HTTP/1.1 %d", &answer->status);
          break;
        }
    }
  if (answer->status == 0)
    {
      answer->ms = now_ms () - begin;
      return;
    }
  if (header (answer->head, "Transfer-Encoding", text, sizeof text) != NULL
      && strcasecmp (text, "chunked") == 0)
    {
      while (read_line (fd, line, sizeof line, end))
        {
          length = strtoul (line, NULL, 16);
          answer->body = realloc (answer->body, answer->size + length + 3);
          if (!read_bytes (fd, answer->body + answer->size, length + 2, end))
            break;
          answer->size += length;
          answer->body[answer->size] = '\0';
          if (length == 0)
            {
              answer->complete = true;
              break;
            }
        }
    }
  else
    {
      length = header (answer->head, "Content-Length", text, sizeof text)
                   ? strtoul (text, NULL, 10)
                   : 0;
      answer->body = realloc (answer->body, length + 1);
      answer->complete = read_bytes (fd, answer->body, length, end);
      answer->size = answer->complete ? length : 0;
      answer->body[answer->size] = '\0';
    }
  answer->ms = now_ms () - begin;
}

void
close_channel (int fd)
{
  close (fd);
}
