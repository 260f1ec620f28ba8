/**
 * @file rig.c
 * Store, workers and clients of the third review.
 */
#include "rig.h"
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/* Time and record. */

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static double start_s;

static double
steady_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double
rig_now (void)
{
  if (start_s == 0)
    start_s = steady_s ();
  return steady_s () - start_s;
}

void
rig_sleep (double seconds)
{
  struct timespec pause;

  if (seconds <= 0)
    return;
  pause.tv_sec = (time_t)seconds;
  pause.tv_nsec = (long)((seconds - (double)pause.tv_sec) * 1e9);
  while (nanosleep (&pause, &pause) != 0 && errno == EINTR)
    continue;
}

void
rig_record_open (const char *path)
{
  record_file = fopen (path, "w");
  if (record_file == NULL)
    rig_give_up ("%s: %s", path, strerror (errno));
  rig_now ();
}

void
rig_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&record_lock);
  if (record_file != NULL)
    {
      fprintf (record_file, "%8.3f ", rig_now ());
      va_start (arguments, format);
      vfprintf (record_file, format, arguments);
      va_end (arguments);
      fputc ('\n', record_file);
      fflush (record_file);
    }
  pthread_mutex_unlock (&record_lock);
}

void
rig_give_up (const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  fprintf (stderr, "cannot run: ");
  vfprintf (stderr, format, arguments);
  fputc ('\n', stderr);
  va_end (arguments);
  _exit (2);
}

/* Sockets. */

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  return address;
}

int
rig_listen (int *port)
{
  struct sockaddr_in address = loopback (0);
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&address, size) != 0
      || listen (fd, 512) != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    rig_give_up ("listen: %s", strerror (errno));
  *port = ntohs (address.sin_port);
  return fd;
}

/* Below the ports that the kernel gives to connections. */
int
rig_free_port (void)
{
  static unsigned int seed;
  struct sockaddr_in address;
  int port = 0;
  int tries;
  int fd;

  if (seed == 0)
    seed = (unsigned int)time (NULL) ^ (unsigned int)getpid () << 8;
  for (tries = 0; tries < 1000 && port == 0; tries++)
    {
      address = loopback (10000 + rand_r (&seed) % 20000);
      fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (fd >= 0
          && bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
        port = ntohs (address.sin_port);
      if (fd >= 0)
        close (fd);
    }
  if (port == 0)
    rig_give_up ("no free port");
  return port;
}

int
rig_connect (int port)
{
  struct sockaddr_in address = loopback (port);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0 || connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      if (fd >= 0)
        close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

void
rig_reset (int fd)
{
  struct linger abort = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
  close (fd);
}

bool
rig_write (int fd, const void *data, size_t size)
{
  const char *bytes = data;
  ssize_t n;

  while (size > 0)
    {
      n = send (fd, bytes, size, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      bytes += n;
      size -= (size_t)n;
    }
  return true;
}

/* Messages. */

static bool
read_more (struct rig_reader *reader)
{
  ssize_t n;

  if (reader->capacity - reader->size < 65536)
    {
      reader->capacity = reader->capacity * 2 + 131072;
      reader->data = realloc (reader->data, reader->capacity);
      if (reader->data == NULL)
        rig_give_up ("no memory");
    }
  n = recv (reader->fd, reader->data + reader->size,
            reader->capacity - reader->size - 1, 0);
  if (n <= 0)
    return false;
  reader->size += (size_t)n;
  reader->data[reader->size] = '\0';
  return true;
}

static void
consume (struct rig_reader *reader, size_t size)
{
  memmove (reader->data, reader->data + size, reader->size - size + 1);
  reader->size -= size;
}

static char *
take (struct rig_reader *reader, size_t size)
{
  char *copy;

  while (reader->size < size)
    if (!read_more (reader))
      return NULL;
  copy = malloc (size + 1);
  if (copy == NULL)
    rig_give_up ("no memory");
  memcpy (copy, reader->data, size);
  copy[size] = '\0';
  consume (reader, size);
  return copy;
}

/* The text up to and with the end mark. */
static char *
take_until (struct rig_reader *reader, const char *end)
{
  const char *found;

  for (;;)
    {
      found = reader->size == 0
                  ? NULL
                  : memmem (reader->data, reader->size, end, strlen (end));
      if (found != NULL)
        return take (reader, (size_t)(found - reader->data) + strlen (end));
      if (!read_more (reader))
        return NULL;
    }
}

static bool
read_chunks (struct rig_reader *reader, struct rig_message *message)
{
  char *line;
  char *chunk;
  size_t size;

  do
    {
      line = take_until (reader, "\r\n");
      if (line == NULL)
        return false;
      size = strtoul (line, NULL, 16);
      free (line);
      chunk = take (reader, size + 2);
      if (chunk == NULL)
        return false;
      message->body = realloc (message->body, message->body_size + size + 1);
      if (message->body == NULL)
        rig_give_up ("no memory");
      memcpy (message->body + message->body_size, chunk, size);
      message->body_size += size;
      message->body[message->body_size] = '\0';
      free (chunk);
    }
  while (size > 0);
  return true;
}

bool
rig_read (struct rig_reader *reader, struct rig_message *message,
          bool until_close)
{
  char text[RIG_TEXT];

  memset (message, 0, sizeof *message);
  do
    {
      free (message->head);
      message->head = take_until (reader, "\r\n\r\n");
      if (message->head == NULL)
        return false;
    }
  while (strncmp (message->head, "HTTP/1.1 1", 10) == 0);
  if (strcasecmp (rig_header (message, "Transfer-Encoding", text), "chunked")
      == 0)
    {
      if (read_chunks (reader, message))
        return true;
    }
  else if (*rig_header (message, "Content-Length", text) != '\0')
    {
      message->body_size = strtoul (text, NULL, 10);
      message->body = take (reader, message->body_size);
      if (message->body != NULL)
        return true;
    }
  else
    {
      while (until_close && read_more (reader))
        continue;
      message->body_size = until_close ? reader->size : 0;
      message->body = take (reader, message->body_size);
      return true;
    }
  rig_message_free (message);
  return false;
}

void
rig_message_free (struct rig_message *message)
{
  free (message->head);
  free (message->body);
  memset (message, 0, sizeof *message);
}

void
rig_reader_free (struct rig_reader *reader)
{
  free (reader->data);
  memset (reader, 0, sizeof *reader);
}

const char *
rig_header (const struct rig_message *message, const char *name,
            char text[RIG_TEXT])
{
  const size_t size = strlen (name);
  const char *line = strstr (message->head, "\r\n");
  size_t length;

  text[0] = '\0';
  for (; line != NULL; line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, size) != 0 || line[size] != ':')
        continue;
      line += size + 1;
      line += strspn (line, " ");
      length = strcspn (line, "\r");
      if (length >= RIG_TEXT)
        length = RIG_TEXT - 1;
      memcpy (text, line, length);
      text[length] = '\0';
      break;
    }
  return text;
}

int
rig_status (const struct rig_message *message)
{
  return message->head == NULL || strlen (message->head) < 12
             ? 0
             : atoi (message->head + 9);
}

void
rig_request_line (const struct rig_message *message, char method[16],
                  char path[RIG_TEXT])
{
  method[0] = path[0] = '\0';
  sscanf (message->head, "%15s %511s", method, path);
}

/* A thread for each connection. */

struct server
{
  int listener;
  void (*serve) (int fd, void *user);
  void *user;
};

struct connection
{
  int fd;
  const struct server *server;
};

static void *
connection_main (void *arg)
{
  struct connection *connection = arg;

  connection->server->serve (connection->fd, connection->server->user);
  free (connection);
  return NULL;
}

static void *
server_main (void *arg)
{
  const struct server *server = arg;
  pthread_attr_t attributes;
  struct connection *connection;
  pthread_t thread;
  int one = 1;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 262144);
  for (;;)
    {
      int fd = accept (server->listener, NULL, NULL);

      if (fd < 0)
        continue;
      fcntl (fd, F_SETFD, FD_CLOEXEC);
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      connection = calloc (1, sizeof *connection);
      if (connection == NULL)
        rig_give_up ("no memory");
      *connection = (struct connection){ .fd = fd, .server = server };
      if (pthread_create (&thread, &attributes, connection_main, connection)
          != 0)
        rig_give_up ("no thread");
    }
  return NULL;
}

static int
start_server (void (*serve) (int fd, void *user), void *user)
{
  struct server *server = calloc (1, sizeof *server);
  pthread_t thread;
  int port;

  if (server == NULL)
    rig_give_up ("no memory");
  *server = (struct server){ .listener = rig_listen (&port),
                             .serve = serve,
                             .user = user };
  if (pthread_create (&thread, NULL, server_main, server) != 0)
    rig_give_up ("no thread");
  pthread_detach (thread);
  return port;
}

/* The store. */

#define EVENTS_MAX 100000

struct event
{
  char *key;
  char *value; /* base64; NULL if deleted */
  uint64_t revision;
  uint64_t lease;
  double time_s;
};

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct event events[EVENTS_MAX];
  size_t count;
  uint64_t revision;
  uint64_t lease;
  double history_s;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
            .changed = PTHREAD_COND_INITIALIZER,
            .revision = 10 };

static char *
encode (const void *value, size_t size)
{
  static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                "abcdefghijklmnopqrstuvwxyz0123456789+/";
  const unsigned char *bytes = value;
  char *text = malloc ((size + 2) / 3 * 4 + 1);
  size_t used = 0;
  size_t i;

  if (text == NULL)
    rig_give_up ("no memory");
  for (i = 0; i < size; i += 3)
    {
      const unsigned int first = bytes[i];
      const unsigned int second = i + 1 < size ? bytes[i + 1] : 0;
      const unsigned int third = i + 2 < size ? bytes[i + 2] : 0;

      text[used++] = letters[first >> 2];
      text[used++] = letters[(first & 3) << 4 | second >> 4];
      text[used++]
          = i + 1 < size ? letters[(second & 15) << 2 | third >> 6] : '=';
      text[used++] = i + 2 < size ? letters[third & 63] : '=';
    }
  text[used] = '\0';
  return text;
}

/* With the lock held. */
static uint64_t
add_event (const char *key, char *value, uint64_t lease)
{
  if (store.count == EVENTS_MAX)
    rig_give_up ("too many events");
  store.events[store.count++] = (struct event){ .key = strdup (key),
                                                .value = value,
                                                .revision = ++store.revision,
                                                .lease = lease,
                                                .time_s = rig_now () };
  pthread_cond_broadcast (&store.changed);
  return store.revision;
}

void
rig_store_set_revision (unsigned long long revision)
{
  store.revision = revision;
}

void
rig_store_put (const char *key, const void *value, size_t size)
{
  char *text = encode (value, size);
  uint64_t revision;

  pthread_mutex_lock (&store.lock);
  revision = add_event (key, text, 0);
  pthread_mutex_unlock (&store.lock);
  rig_record ("store acknowledges %s, %zu bytes, revision %llu", key, size,
              (unsigned long long)revision);
}

void
rig_store_delete (const char *key)
{
  pthread_mutex_lock (&store.lock);
  add_event (key, NULL, 0);
  pthread_mutex_unlock (&store.lock);
  rig_record ("store removes %s", key);
}

void
rig_store_set_mode (struct rig_store_side *side, enum rig_store_mode mode)
{
  pthread_mutex_lock (&store.lock);
  side->mode = mode;
  side->changes++;
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.lock);
  rig_record ("store %s", mode == RIG_STORE_SERVES
                              ? "serves all machines"
                              : "resets the channels of one machine");
}

static const struct event *
current (const char *key)
{
  size_t i;

  for (i = store.count; i > 0; i--)
    if (strcmp (store.events[i - 1].key, key) == 0)
      return &store.events[i - 1];
  return NULL;
}

static void
query_value (const char *path, const char *name, char text[RIG_TEXT])
{
  char pattern[64];
  const char *from = strchr (path, '?');
  size_t used = 0;

  text[0] = '\0';
  snprintf (pattern, sizeof pattern, "%s=", name);
  while (from != NULL && strncmp (from + 1, pattern, strlen (pattern)) != 0)
    from = strchr (from + 1, '&');
  if (from == NULL)
    return;
  for (from += 1 + strlen (pattern);
       *from != '\0' && *from != '&' && used + 1 < RIG_TEXT; from++)
    if (*from == '%' && isxdigit ((unsigned char)from[1]))
      {
        char digits[3] = { from[1], from[2], '\0' };

        text[used++] = (char)strtol (digits, NULL, 16);
        from += 2;
      }
    else
      text[used++] = *from;
  text[used] = '\0';
}

static void
add_item (struct rig_text *out, bool first, const struct event *event)
{
  if (event->value == NULL)
    rig_text_add (out, "%s{\"key\":\"%s\",\"revision\":%llu,\"deleted\":true}",
                  first ? "" : ",", event->key,
                  (unsigned long long)event->revision);
  else
    rig_text_add (out,
                  "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,"
                  "\"created\":%llu,\"lease\":%llu}",
                  first ? "" : ",", event->key, event->value,
                  (unsigned long long)event->revision,
                  (unsigned long long)event->revision,
                  (unsigned long long)event->lease);
}

static int
compare_events (const void *a, const void *b)
{
  return strcmp ((*(const struct event *const *)a)->key,
                 (*(const struct event *const *)b)->key);
}

static void
list_range (const char *path, struct rig_text *out)
{
  const struct event **found
      = calloc (store.count + 1, sizeof (struct event *));
  char prefix[RIG_TEXT];
  char after[RIG_TEXT];
  size_t count = 0;
  size_t i;

  query_value (path, "prefix", prefix);
  query_value (path, "after", after);
  for (i = 0; i < store.count; i++)
    if (strncmp (store.events[i].key, prefix, strlen (prefix)) == 0
        && strcmp (store.events[i].key, after) > 0
        && store.events[i].value != NULL
        && current (store.events[i].key) == &store.events[i])
      found[count++] = &store.events[i];
  qsort (found, count, sizeof found[0], compare_events);
  rig_text_add (out, "{\"entries\":[");
  for (i = 0; i < count && i < 500; i++)
    add_item (out, i == 0, found[i]);
  rig_text_add (out, "],\"has_more\":%s,\"at\":%llu}",
                count > 500 ? "true" : "false",
                (unsigned long long)store.revision);
  free (found);
}

/* @return the status, 0 if the channel is to be reset. */
static int
watch (const char *path, const struct rig_store_side *side,
       struct rig_text *out)
{
  const unsigned long changes = side->changes;
  char prefix[RIG_TEXT];
  char text[RIG_TEXT];
  struct timespec end;
  uint64_t after;
  long wait_ms;
  bool found = false;
  size_t i;

  query_value (path, "prefix", prefix);
  query_value (path, "after", text);
  after = strtoull (text, NULL, 10);
  query_value (path, "wait_ms", text);
  wait_ms = atol (text);
  clock_gettime (CLOCK_REALTIME, &end);
  end.tv_sec += wait_ms / 1000;
  end.tv_nsec += wait_ms % 1000 * 1000000;
  if (end.tv_nsec >= 1000000000)
    {
      end.tv_sec++;
      end.tv_nsec -= 1000000000;
    }
  for (;;)
    {
      for (i = 0; i < store.count; i++)
        if (store.events[i].revision > after
            && strncmp (store.events[i].key, prefix, strlen (prefix)) == 0)
          {
            if (rig_now () - store.events[i].time_s > store.history_s)
              return 410;
            found = true;
          }
      if (found
          || pthread_cond_timedwait (&store.changed, &store.lock, &end) != 0)
        break;
      if (changes != side->changes)
        return 0;
    }
  rig_text_add (out, "{\"events\":[");
  found = false;
  for (i = 0; i < store.count; i++)
    if (store.events[i].revision > after
        && strncmp (store.events[i].key, prefix, strlen (prefix)) == 0)
      {
        add_item (out, !found, &store.events[i]);
        found = true;
      }
  rig_text_add (out, "],\"at\":%llu}", (unsigned long long)store.revision);
  return 200;
}

static int
transact (const char *body, struct rig_text *out)
{
  json_t *root = json_loads (body, 0, NULL);
  json_t *entry;
  size_t i;
  bool holds = true;

  json_array_foreach (json_object_get (root, "expected_revision"), i, entry)
  {
    const struct event *event
        = current (json_string_value (json_object_get (entry, "key")));
    const uint64_t revision
        = event == NULL || event->value == NULL ? 0 : event->revision;

    if (revision
        != (uint64_t)json_integer_value (json_object_get (entry, "revision")))
      holds = false;
  }
  if (holds)
    {
      json_array_foreach (json_object_get (root, "puts"), i, entry) add_event (
          json_string_value (json_object_get (entry, "key")),
          strdup (json_string_value (json_object_get (entry, "value"))),
          (uint64_t)json_integer_value (json_object_get (entry, "lease")));
      json_array_foreach (json_object_get (root, "remove"), i, entry)
          add_event (json_string_value (entry), NULL, 0);
      rig_text_add (out, "{\"revision\":%llu}",
                    (unsigned long long)store.revision);
    }
  else
    rig_text_add (out, "{\"entries\":[]}");
  json_decref (root);
  return holds ? 200 : 412;
}

static int
call_store (const struct rig_message *request,
            const struct rig_store_side *side, struct rig_text *out)
{
  char method[16];
  char path[RIG_TEXT];

  rig_request_line (request, method, path);
  if (strncmp (path, "/kv-range", 9) == 0)
    {
      list_range (path, out);
      return 200;
    }
  if (strncmp (path, "/kv-watch", 9) == 0)
    return watch (path, side, out);
  if (strcmp (path, "/kv-txn") == 0)
    return transact (request->body, out);
  if (strcmp (path, "/kv-lease") == 0)
    {
      rig_text_add (out, "{\"lease\":%llu,\"ttl_ms\":9000}",
                    (unsigned long long)++store.lease);
      return 200;
    }
  rig_text_add (out, "{\"ttl_ms\":9000}");
  return 200;
}

static void
serve_store (int fd, void *user)
{
  const struct rig_store_side *side = user;
  struct rig_reader reader = { .fd = fd };
  struct rig_message request;
  bool open = true;

  while (open && rig_read (&reader, &request, false))
    {
      struct rig_text out = { .size = 0 };
      char head[RIG_TEXT];
      int status = 0;

      pthread_mutex_lock (&store.lock);
      if (side->mode == RIG_STORE_SERVES)
        status = call_store (&request, side, &out);
      pthread_mutex_unlock (&store.lock);
      snprintf (head, sizeof head,
                "HTTP/1.1 %d Store\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n",
                status, out.size);
      open = status != 0 && rig_write (fd, head, strlen (head))
             && rig_write (fd, out.data == NULL ? "" : out.data, out.size);
      rig_text_free (&out);
      rig_message_free (&request);
      if (status == 0)
        {
          rig_reset (fd);
          fd = -1;
        }
    }
  rig_reader_free (&reader);
  if (fd >= 0)
    close (fd);
}

int
rig_store_start (double history_s, struct rig_store_side *side)
{
  if (store.history_s == 0)
    store.history_s = history_s;
  return start_server (serve_store, side);
}

/* Workers. */

#define RUNS_MAX 200000

struct worker
{
  char id[32];
  rig_run_fn run;
};

static struct rig_run runs[RUNS_MAX];
static size_t run_count;
static pthread_mutex_t run_lock = PTHREAD_MUTEX_INITIALIZER;

static void
count_run (const char *worker, const struct rig_message *request)
{
  char text[RIG_TEXT];
  char method[16];
  char path[RIG_TEXT];

  rig_header (request, "X-Attempt-Id", text);
  pthread_mutex_lock (&run_lock);
  if (run_count == RUNS_MAX)
    rig_give_up ("too many runs");
  snprintf (runs[run_count].id, sizeof runs[run_count].id, "%.63s", text);
  snprintf (runs[run_count].worker, sizeof runs[run_count].worker, "%s",
            worker);
  runs[run_count++].time_s = rig_now ();
  pthread_mutex_unlock (&run_lock);
  rig_request_line (request, method, path);
  rig_record ("worker %s runs %s: %s %s", worker, text, method, path);
}

size_t
rig_run_count (void)
{
  size_t count;

  pthread_mutex_lock (&run_lock);
  count = run_count;
  pthread_mutex_unlock (&run_lock);
  return count;
}

struct rig_run
rig_run_get (size_t index)
{
  struct rig_run run;

  pthread_mutex_lock (&run_lock);
  run = runs[index];
  pthread_mutex_unlock (&run_lock);
  return run;
}

size_t
rig_runs_of (const char *id, char worker[32])
{
  size_t count = 0;
  size_t i;

  pthread_mutex_lock (&run_lock);
  for (i = 0; i < run_count; i++)
    if (strcmp (runs[i].id, id) == 0)
      {
        count++;
        if (worker != NULL)
          snprintf (worker, 32, "%s", runs[i].worker);
      }
  pthread_mutex_unlock (&run_lock);
  return count;
}

bool
rig_answer (int fd, const char *worker, const struct rig_message *request,
            int status, const char *body)
{
  char id[RIG_TEXT];
  char text[2 * RIG_TEXT];

  snprintf (text, sizeof text,
            "HTTP/1.1 %d Worker\r\nX-Attempt-Id: %s\r\n"
            "X-Worker-Signature: %s.1\r\nContent-Length: %zu\r\n\r\n%s",
            status, rig_header (request, "X-Attempt-Id", id), worker,
            strlen (body), body);
  return rig_write (fd, text, strlen (text));
}

static bool
misdirect (int fd, const char *worker)
{
  char text[RIG_TEXT];

  snprintf (text, sizeof text,
            "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\n"
            "Content-Length: 0\r\n\r\n",
            worker);
  return rig_write (fd, text, strlen (text));
}

static void
serve_worker (int fd, void *user)
{
  const struct worker *worker = user;
  struct rig_reader reader = { .fd = fd };
  struct rig_message request;
  char text[RIG_TEXT];
  bool open = true;

  while (open && rig_read (&reader, &request, false))
    {
      rig_header (&request, "X-Expect-Instance", text);
      if (text[0] != '\0' && strcmp (text, worker->id) != 0)
        open = misdirect (fd, worker->id);
      else
        {
          count_run (worker->id, &request);
          open = worker->run == NULL
                     ? rig_answer (fd, worker->id, &request, 200, worker->id)
                     : worker->run (fd, worker->id, &request);
        }
      rig_message_free (&request);
    }
  rig_reader_free (&reader);
  close (fd);
}

int
rig_worker_start (const char *id, rig_run_fn run)
{
  struct worker *worker = calloc (1, sizeof *worker);

  if (worker == NULL)
    rig_give_up ("no memory");
  snprintf (worker->id, sizeof worker->id, "%s", id);
  worker->run = run;
  return start_server (serve_worker, worker);
}

void
rig_worker_register (const char *id, const char *service, int port,
                     const char *state)
{
  char key[64];
  char value[RIG_TEXT];
  static int sequence;

  snprintf (key, sizeof key, "servers/%s", id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"za\","
            "\"version\":\"v1\",\"slots\":64,\"state\":\"%s\","
            "\"cold_remaining_ms\":0,\"sequence\":%d}",
            service, port, state, ++sequence);
  rig_store_put (key, value, strlen (value));
}

/* Gateways. */

void
rig_gateway_settings (const char *path, const char *name, const char *zone,
                      int store_port, int *front, int *ready)
{
  FILE *file = fopen (path, "w");
  int first = rig_free_port ();

  *front = rig_free_port ();
  *ready = rig_free_port ();
  if (file == NULL)
    rig_give_up ("%s: %s", path, strerror (errno));
  fprintf (
      file,
      "{\"node\":\"%s\",\"role\":\"gateway\",\"machine_class\":\"edge\","
      "\"serves\":[\"edge\"],\"ip\":\"127.0.0.1\",\"zone\":\"%s\","
      "\"region\":\"r\",\"zones\":{\"za\":\"r\",\"zb\":\"r\"},"
      "\"listen\":{\"front\":\"127.0.0.1:%d\",\"ready\":\"127.0.0.1:%d\"},"
      "\"port_range\":[%d,%d],\"seeds\":[],\"bootstrap\":true,"
      "\"in_failure_budget\":false,\"limits\":{\"cpu_share\":0.25,\"cores\":1,"
      "\"memory_mb\":260,\"max_fds\":4200,\"link_mbps\":1000.0,"
      "\"disk_mb\":0},\"data_dir\":null,\"heartbeat_ms\":1200,"
      "\"bounds\":{\"contact_ms\":3000,\"ack_ms\":4000,\"drain_ms\":2000,"
      "\"grace_s\":8,\"config_apply_ms\":2000,\"rollback_slack_ms\":250,"
      "\"outer_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,"
      "\"retry_allowance\":52,\"quota_window_s\":4},"
      "\"platform\":{\"address\":\"127.0.0.1:%d\",\"form\":\"kv\","
      "\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
      "\"value_bytes\":1048576,\"ttl_min_ms\":1000}}\n",
      name, zone, *front, *ready, first, first + 15, store_port);
  if (fclose (file) != 0)
    rig_give_up ("%s: %s", path, strerror (errno));
}

bool
rig_gateway_ready (int ready_port)
{
  static const char probe[] = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
  struct rig_reader reader = { .fd = rig_connect (ready_port) };
  struct rig_message answer;
  bool ready = false;

  if (reader.fd < 0)
    return false;
  if (rig_write (reader.fd, probe, strlen (probe))
      && rig_read (&reader, &answer, false))
    {
      ready = rig_status (&answer) == 200;
      rig_message_free (&answer);
    }
  rig_reader_free (&reader);
  close (reader.fd);
  return ready;
}

void
rig_gateway_wait (int ready_port)
{
  int tries = 0;

  while (!rig_gateway_ready (ready_port))
    {
      if (++tries == 300)
        rig_give_up ("a gateway is not ready after 15 s");
      rig_sleep (0.05);
    }
}

/* Clients. */

int
rig_request (int front_port, const char *method, const char *path,
             const char *id, const char *key, int deadline_ms)
{
  struct timeval timeout = { .tv_sec = deadline_ms / 1000 + 1 };
  struct rig_reader reader = { .fd = rig_connect (front_port) };
  struct rig_message answer;
  char text[2 * RIG_TEXT];
  int status = 0;

  if (reader.fd < 0)
    return 0;
  setsockopt (reader.fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"
            "X-Credential: %s\r\nX-Deadline-Remaining-Ms: %d\r\n"
            "Content-Length: 0\r\n\r\n",
            method, path, id, key, deadline_ms);
  rig_record ("client sends %s: %s %s, key %s", id, method, path, key);
  if (rig_write (reader.fd, text, strlen (text))
      && rig_read (&reader, &answer, false))
    {
      status = rig_status (&answer);
      rig_message_free (&answer);
    }
  rig_record ("client gets for %s: %d", id, status);
  rig_reader_free (&reader);
  close (reader.fd);
  return status;
}

/* Texts. */

void
rig_text_add (struct rig_text *text, const char *format, ...)
{
  va_list arguments;
  int size;

  va_start (arguments, format);
  size = vsnprintf (NULL, 0, format, arguments);
  va_end (arguments);
  if (size < 0)
    rig_give_up ("format");
  while (text->size + (size_t)size + 1 > text->capacity)
    {
      text->capacity = text->capacity * 2 + 4096;
      text->data = realloc (text->data, text->capacity);
      if (text->data == NULL)
        rig_give_up ("no memory");
    }
  va_start (arguments, format);
  vsnprintf (text->data + text->size, (size_t)size + 1, format, arguments);
  va_end (arguments);
  text->size += (size_t)size;
}

void
rig_text_free (struct rig_text *text)
{
  free (text->data);
  memset (text, 0, sizeof *text);
}

void
rig_route (struct rig_text *text, bool first, const char *name,
           const char *kind, const char *service, int attempts, bool resumable)
{
  rig_text_add (
      text,
      "%s{\"name\":\"r-%s\",\"host\":\"shop.example\",\"prefix\":\"/%s/\","
      "\"route_type\":\"%s\",\"timeout_ms\":8000,\"target_latency_ms\":1000,"
      "\"priority\":1,\"service\":\"%s\",\"max_attempts\":%d,"
      "\"auth_exempt\":false,\"session_affinity\":false,\"resumable\":%s,"
      "\"gap_aim_ms\":200}",
      first ? "" : ",", name, name, kind, service, attempts,
      resumable ? "true" : "false");
}
