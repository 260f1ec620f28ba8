/**
 * @file test_client_crowds.c
 * Crowds of clients that make a process hold bytes: large bodies, whole or
 * short of their end, chunks of all sizes, bodies over the limit, heads
 * without end, requests behind one another, responses that are not read.  A
 * real gateway and a real router of `serve' live, stay within their memory and
 * their descriptors, and serve others meanwhile.
 */
#include "support/crowd.h"
#include "support/freeport.h"
#include "support/procmeter.h"
#include "support/sinkserver.h"
#include "support/storeserver.h"
#include "support/suite.h"
#include "transport/loop.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define KEY       "key-of-crowd-000000"
#define OTHER_KEY "key-of-other-000000"

#define MEMORY_MB 96
#define MEMORY_KB (MEMORY_MB * 1000UL) /* within any meaning of MB */
#define MAX_FDS   1024
#define BODY_MAX  1048576
#define CROWD     150
#define MANY      300  /* of clients that send or read little */
#define BEYOND    1200 /* more than there are connections for */
/* Connections to upstreams that are kept, and a few that are closing. */
#define SPARE_FDS 24

#define CHUNK_BYTES  65536
#define SMALL_CHUNKS 131072
#define SMALL_CHUNK  "1\r\nx\r\n"
#define FAR_OVER     (8 * BODY_MAX / CHUNK_BYTES) /* chunks */
#define HEAD_SIZE    20480

#define STEP_MS     20
#define QUIET_STEPS 25
#define STEPS_MAX   400
/* Idle connections to upstreams are kept for a quarter of a minute. */
#define RELEASE_STEPS 1000
#define TRIES         80
#define CROWDS_MAX    4

/** A program of the system, with its settings and its form of a request. */
struct program
{
  void (*start) (void);
  void (*write_head) (char *out, size_t size, const char *path,
                      const char *key, const char *headers);
};

struct crowd_case
{
  const char *path; /**< NULL: nothing is sent */
  const char *key;
  const char *headers; /**< with CRLF, and the empty line if the head ends */
  struct crowd_script script; /**< without head */
  size_t count;
};

static void start_gateway (void);
static void start_serve (void);

static void write_gateway_head (char *out, size_t size, const char *path,
                                const char *key, const char *headers);
static void write_serve_head (char *out, size_t size, const char *path,
                              const char *key, const char *headers);

static const struct program gateway_program
    = { start_gateway, write_gateway_head };
static const struct program serve_program = { start_serve, write_serve_head };

static const char config[]
    = "{\"version\":1,\"limits\":{\"max_header_bytes\":16384,"
      "\"max_body_bytes\":1048576,\"header_timeout_ms\":30000,"
      "\"idle_timeout_ms\":30000},\"services\":[{\"name\":\"s2\","
      "\"health_path\":\"/h\",\"max_connections\":4096}],\"routes\":[{"
      "\"name\":\"once\",\"host\":\"shop.example\",\"prefix\":\"/once/\","
      "\"route_type\":\"non_idempotent\",\"timeout_ms\":60000,"
      "\"target_latency_ms\":30000,\"priority\":1,\"service\":\"s2\","
      "\"max_attempts\":2,\"auth_exempt\":false,\"resumable\":false}],"
      "\"tenants\":[{\"name\":\"crowd\",\"api_keys\":[\"" KEY "\"]}"
      ",{\"name\":\"other\",\"api_keys\":[\"" OTHER_KEY "\"]}]}";

static const char gateway_settings[]
    = "{ \"node\": \"gate-1\", \"zone\": \"za\", \"ip\": \"127.0.0.1\","
      "  \"port_range\": [%u, 65535],"
      "  \"listen\": { \"front\": \"127.0.0.1:%u\","
      "                \"ready\": \"127.0.0.1:%u\" },"
      "  \"platform\": { \"address\": \"127.0.0.1:%u\" },"
      "  \"limits\": { \"max_fds\": %d, \"memory_mb\": %d,"
      "                \"cpu_share\": 0.25 } }";

static const char serve_settings[]
    = "router:\n"
      "  instance: r1\n"
      "  fleet: test\n"
      "  availability_zone: a\n"
      "  client_address: 127.0.0.1:%u\n"
      "  admin_address: 127.0.0.1:%u\n"
      "  limits:\n"
      "    body_bytes_max: 1048576\n"
      "    connections_max: 380\n"
      "    memory_mb: 96\n"
      "customers:\n"
      "  - { name: crowd, weight: 1, keys: [" KEY "] }\n"
      "  - { name: other, weight: 1, keys: [" OTHER_KEY "] }\n"
      "profiles:\n"
      "  - { name: plain, service: plain, class: quick, idempotent: false,"
      " deadline_ms: 60000 }\n"
      "services:\n"
      "  - name: plain\n"
      "    kind: plain\n"
      "    upstreams:\n"
      "      - { address: 127.0.0.1:%u, availability_zone: a, slots: 4096 "
      "}\n";

static const struct program *program;
static struct event_base *base;
static struct storeserver store;
static struct sinkserver sink;
static struct procmeter meter;
static uint32_t start_fds;
static char settings_path[64];
static struct crowd crowds[CROWDS_MAX];
static char heads[CROWDS_MAX][HEAD_SIZE];
static char zeros[BODY_MAX];
static char small_chunks[SMALL_CHUNKS * (sizeof SMALL_CHUNK - 1)];
static char chunk[CHUNK_BYTES + 16]; /**< one, with its framing */
static size_t chunk_size;
/** Chunks of CHUNK_BYTES, a byte less than BODY_MAX in all. */
static char chunks[BODY_MAX + 512];
static size_t chunks_size;
static char long_header[16000];
static char pipelined[CHUNK_BYTES];
static size_t pipelined_size;

static void
run (uint32_t duration_ms)
{
  const struct timeval duration = clock_timeval (duration_ms);

  event_base_loopexit (base, &duration);
  event_base_dispatch (base);
}

static void
write_gateway_head (char *out, size_t size, const char *path, const char *key,
                    const char *headers)
{
  snprintf (out, size,
            "POST /once/%s HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Credential: %s\r\nX-Attempt-Id: id-1\r\n"
            "X-Deadline-Remaining-Ms: 60000\r\n%s",
            path, key, headers);
}

static void
write_serve_head (char *out, size_t size, const char *path, const char *key,
                  const char *headers)
{
  snprintf (out, size,
            "POST /services/plain/%s HTTP/1.1\r\nHost: r\r\n"
            "Authorization: Bearer %s\r\nCherrylanding-Profile: plain\r\n"
            "Cherrylanding-Request-Id: id-1\r\n%s",
            path, key, headers);
}

static void
make_bodies (void)
{
  size_t i;

  memset (zeros, '0', sizeof zeros);
  memset (long_header, 'h', sizeof long_header - 1);
  for (i = 0; i < SMALL_CHUNKS; i++)
    memcpy (small_chunks + i * (sizeof SMALL_CHUNK - 1), SMALL_CHUNK,
            sizeof SMALL_CHUNK - 1);
  chunk_size = (size_t)snprintf (chunk, sizeof chunk, "%x\r\n", CHUNK_BYTES);
  memset (chunk + chunk_size, '0', CHUNK_BYTES);
  chunk_size += CHUNK_BYTES;
  chunk[chunk_size++] = '\r';
  chunk[chunk_size++] = '\n';
  for (chunks_size = 0, i = 0; i < BODY_MAX / CHUNK_BYTES; i++)
    {
      memcpy (chunks + chunks_size, chunk, chunk_size);
      chunks_size += chunk_size;
    }
  chunks_size -= 3;
}

/* Requests that follow one another at once. */
static void
make_pipelined (void)
{
  char request[512];
  size_t size;

  program->write_head (request, sizeof request, "a", KEY,
                       "Content-Length: 0\r\n\r\n");
  size = strlen (request);
  for (pipelined_size = 0; pipelined_size + size <= sizeof pipelined;
       pipelined_size += size)
    memcpy (pipelined + pipelined_size, request, size);
}

static void
write_settings (const char *text, size_t size)
{
  int fd;

  strcpy (settings_path, "/tmp/test_client_crowds.XXXXXX");
  fd = mkstemp (settings_path);
  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (write (fd, text, size), (ssize_t)size);
  close (fd);
}

static void
start_gateway (void)
{
  static const char *const args[] = { "cherrylanding", "gateway", NULL };
  char text[sizeof gateway_settings + 64];
  char setting[sizeof settings_path + 32];
  char record[256];
  int size;

  storeserver_init (&store, base);
  snprintf (record, sizeof record,
            "{\"service\":\"s2\",\"address\":\"127.0.0.1:%u\",\"zone\":\"za\","
            "\"version\":\"v1\",\"slots\":4096,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1000}",
            sink.port);
  storeserver_put (&store, "servers/w-0", record);
  storeserver_put (&store, "op/config", config);
  size = snprintf (text, sizeof text, gateway_settings, freeport_next (),
                   meter.port, freeport_next (), store.port, MAX_FDS,
                   MEMORY_MB);
  write_settings (text, (size_t)size);
  snprintf (setting, sizeof setting, "CHERRYLANDING_CONFIG=%s", settings_path);
  CU_ASSERT_FATAL (procmeter_start (&meter, args, setting));
}

static void
start_serve (void)
{
  const char *const args[] = { "cherrylanding", "serve", settings_path, NULL };
  char text[sizeof serve_settings + 64];
  int size = snprintf (text, sizeof text, serve_settings, meter.port,
                       freeport_next (), sink.port);

  write_settings (text, (size_t)size);
  CU_ASSERT_FATAL (procmeter_start (&meter, args, NULL));
}

/* @return the status of a request on a new connection; 0 if there is none. */
static int
request (const char *path, const char *key, size_t body_size)
{
  char head[512];
  char headers[64];
  const struct crowd_script script
      = { .head = head, .body = zeros, .body_size = body_size };
  struct crowd crowd;
  int status = 0;
  int i;

  snprintf (headers, sizeof headers, "Content-Length: %zu\r\n\r\n", body_size);
  program->write_head (head, sizeof head, path, key, headers);
  crowd_init (&crowd, base, meter.port, &script, 1);
  for (i = 0; i < STEPS_MAX && status == 0 && crowd_open (&crowd) > 0; i++)
    {
      run (STEP_MS);
      procmeter_sample (&meter);
      if (crowd_answered (&crowd, 0) > 0)
        status = crowd_answered (&crowd, 200) > 0 ? 200 : 1;
    }
  crowd_finish (&crowd);
  return status;
}

/* Repeats a refused request. */
static bool
is_served (const char *path, const char *key, size_t body_size)
{
  int i;

  for (i = 0; i < TRIES; i++)
    {
      if (request (path, key, body_size) == 200)
        return true;
      run (10 * STEP_MS);
    }
  return false;
}

static void
start (const struct program *started)
{
  signal (SIGPIPE, SIG_IGN);
  program = started;
  base = loop_new ();
  memset (&meter, 0, sizeof meter);
  make_bodies ();
  make_pipelined ();
  sinkserver_init (&sink, base);
  meter.port = freeport_next ();
  meter.upstream_port = sink.port;
  program->start ();
  CU_ASSERT_TRUE_FATAL (is_served ("a", OTHER_KEY, 10));
  run (10 * STEP_MS);
  meter.start_kb = procmeter_kb (&meter);
  meter.peak_kb = 0;
  start_fds = procmeter_fds (&meter);
}

static void
finish (void)
{
  CU_ASSERT_EQUAL (procmeter_stop (&meter), 0);
  unlink (settings_path);
  sinkserver_finish (&sink);
  if (program == &gateway_program)
    storeserver_finish (&store);
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
}

static uint64_t
moved_bytes (size_t count)
{
  uint64_t bytes = 0;
  size_t i;

  for (i = 0; i < count; i++)
    bytes += crowd_moved_bytes (&crowds[i]);
  return bytes;
}

/* Until the clients neither send nor receive any more. */
static void
run_until_quiet (size_t count)
{
  uint64_t last = 0;
  uint64_t bytes;
  int quiet = 0;
  int i;

  for (i = 0; i < STEPS_MAX && quiet < QUIET_STEPS; i++)
    {
      run (STEP_MS);
      procmeter_sample (&meter);
      bytes = moved_bytes (count);
      quiet = bytes == last ? quiet + 1 : 0;
      last = bytes;
    }
}

/* Until all that the clients have taken is given back. */
static void
run_until_released (void)
{
  int i;

  for (i = 0; i < RELEASE_STEPS
              && (procmeter_fds (&meter) > start_fds + SPARE_FDS
                  || procmeter_kb (&meter) > MEMORY_KB / 2);
       i++)
    run (STEP_MS);
}

static void
play (const struct program *played, const struct crowd_case *cases,
      size_t count)
{
  struct crowd_script scripts[CROWDS_MAX];
  size_t i;

  start (played);
  for (i = 0; i < count; i++)
    {
      heads[i][0] = '\0';
      if (cases[i].path != NULL)
        program->write_head (heads[i], sizeof heads[i], cases[i].path,
                             cases[i].key, cases[i].headers);
      scripts[i] = cases[i].script;
      scripts[i].head = heads[i];
      crowd_init (&crowds[i], base, meter.port, &scripts[i], cases[i].count);
    }
  run_until_quiet (count);
  CU_ASSERT_TRUE_FATAL (procmeter_lives (&meter));
  CU_ASSERT_TRUE (is_served ("a", OTHER_KEY, 1000));
  printf ("peak %lu KB, %u descriptors ", (unsigned long)meter.peak_kb,
          meter.peak_fds);
  CU_ASSERT (meter.peak_kb <= MEMORY_KB);
  CU_ASSERT (meter.peak_fds <= MAX_FDS);
  for (i = 0; i < count; i++)
    crowd_finish (&crowds[i]);
  run_until_released ();
  CU_ASSERT (procmeter_fds (&meter) <= start_fds + SPARE_FDS);
  CU_ASSERT (procmeter_kb (&meter) <= MEMORY_KB / 2);
  CU_ASSERT_TRUE (is_served ("a", KEY, BODY_MAX));
  CU_ASSERT_EQUAL (sink.largest_bytes, BODY_MAX);
  CU_ASSERT_TRUE (procmeter_lives (&meter));
  finish ();
}

#define CHUNKED   "Transfer-Encoding: chunked\r\n\r\n"
#define ANNOUNCED "Content-Length: 1048576\r\n\r\n"

static const struct crowd_case whole
    = { SINKSERVER_HANG,
        KEY,
        ANNOUNCED,
        { .body = zeros, .body_size = BODY_MAX },
        CROWD };
static const struct crowd_case short_of_end = {
  "a", KEY, ANNOUNCED, { .body = zeros, .body_size = BODY_MAX - 1 }, CROWD
};
static const struct crowd_case single_bytes
    = { "a",
        KEY,
        CHUNKED,
        { .body = small_chunks, .body_size = sizeof small_chunks },
        CROWD };
static const struct crowd_case announced_over
    = { "a",
        KEY,
        "Content-Length: 1073741824\r\n\r\n",
        { .body = zeros, .body_size = CHUNK_BYTES, .repeat = FAR_OVER },
        CROWD };
static const struct crowd_case unknown_key
    = { "a",
        "key-of-nobody-00000",
        ANNOUNCED,
        { .body = zeros, .body_size = BODY_MAX - 1 },
        CROWD };
static const struct crowd_case deaf = {
  SINKSERVER_LONG, KEY, "Content-Length: 0\r\n\r\n", { .deaf = true }, MANY
};

/* The upstream holds their requests. */
static const struct crowd_case running = {
  SINKSERVER_HANG, KEY, "Content-Length: 0\r\n\r\n", { .deaf = false }, BEYOND
};
static const struct crowd_case silent
    = { NULL, KEY, "", { .deaf = false }, BEYOND };

static void
play_large_chunks (const struct program *played)
{
  struct crowd_case crowd = { "a", KEY, CHUNKED, { .body = chunks }, CROWD };

  make_bodies ();
  crowd.script.body_size = chunks_size;
  play (played, &crowd, 1);
}

static void
play_chunks_over (const struct program *played)
{
  struct crowd_case crowd
      = { "a", KEY, CHUNKED, { .body = chunk, .repeat = FAR_OVER }, CROWD };

  make_bodies ();
  crowd.script.body_size = chunk_size;
  play (played, &crowd, 1);
}

static void
play_pipelined (const struct program *played)
{
  struct crowd_case crowd = { SINKSERVER_HANG,
                              KEY,
                              "Content-Length: 0\r\n\r\n",
                              { .body = pipelined, .repeat = 64 },
                              MANY };

  program = played;
  make_pipelined ();
  crowd.script.body_size = pipelined_size;
  play (played, &crowd, 1);
}

/* @param headers  before a line without end. */
static void
play_line (const struct program *played, const char *headers, size_t count)
{
  const struct crowd_case crowd
      = { "a",
          KEY,
          headers,
          { .body = long_header, .body_size = sizeof long_header - 1 },
          count };

  play (played, &crowd, 1);
}

static void
play_mixed (const struct program *played)
{
  struct crowd_case cases[] = { whole, short_of_end, single_bytes, deaf };
  size_t i;

  for (i = 0; i < CROWDS_MAX; i++)
    cases[i].count = CROWD / 2;
  play (played, cases, CROWDS_MAX);
}

#define BOTH(name, call)                                                      \
  static void test_gateway_##name (void)                                      \
  {                                                                           \
    const struct program *played = &gateway_program;                          \
    call;                                                                     \
  }                                                                           \
  static void test_serve_##name (void)                                        \
  {                                                                           \
    const struct program *played = &serve_program;                            \
    call;                                                                     \
  }

BOTH (whole, play (played, &whole, 1))
BOTH (short_of_end, play (played, &short_of_end, 1))
BOTH (large_chunks, play_large_chunks (played))
BOTH (single_bytes, play (played, &single_bytes, 1))
BOTH (chunks_over, play_chunks_over (played))
BOTH (announced_over, play (played, &announced_over, 1))
BOTH (unknown_key, play (played, &unknown_key, 1))
BOTH (pipelined, play_pipelined (played))
BOTH (heads, play_line (played, "X-Long: ", MANY))
BOTH (heads_beyond, play_line (played, "X-Long: ", BEYOND))
BOTH (extensions, play_line (played, CHUNKED "1;", MANY))
BOTH (silent, play (played, &silent, 1))
BOTH (running, play (played, &running, 1))
BOTH (deaf, play (played, &deaf, 1))
BOTH (mixed, play_mixed (played))

static const struct suite_test tests[] = {
  { "gateway: whole bodies", test_gateway_whole },
  { "gateway: bodies a byte short", test_gateway_short_of_end },
  { "gateway: large chunks short of the end", test_gateway_large_chunks },
  { "gateway: chunks of one byte", test_gateway_single_bytes },
  { "gateway: chunks far over the limit", test_gateway_chunks_over },
  { "gateway: announced over the limit", test_gateway_announced_over },
  { "gateway: unknown key", test_gateway_unknown_key },
  { "gateway: requests behind one another", test_gateway_pipelined },
  { "gateway: heads without end", test_gateway_heads },
  { "gateway: heads without end on all connections",
    test_gateway_heads_beyond },
  { "gateway: silent clients on all connections", test_gateway_silent },
  { "gateway: running requests on all connections", test_gateway_running },
  { "gateway: chunk extensions without end", test_gateway_extensions },
  { "gateway: responses that are not read", test_gateway_deaf },
  { "gateway: several crowds", test_gateway_mixed },
  { "serve: whole bodies", test_serve_whole },
  { "serve: bodies a byte short", test_serve_short_of_end },
  { "serve: large chunks short of the end", test_serve_large_chunks },
  { "serve: chunks of one byte", test_serve_single_bytes },
  { "serve: chunks far over the limit", test_serve_chunks_over },
  { "serve: announced over the limit", test_serve_announced_over },
  { "serve: unknown key", test_serve_unknown_key },
  { "serve: requests behind one another", test_serve_pipelined },
  { "serve: heads without end", test_serve_heads },
  { "serve: heads without end on all connections", test_serve_heads_beyond },
  { "serve: silent clients on all connections", test_serve_silent },
  { "serve: running requests on all connections", test_serve_running },
  { "serve: chunk extensions without end", test_serve_extensions },
  { "serve: responses that are not read", test_serve_deaf },
  { "serve: several crowds", test_serve_mixed },
};

SUITE_MAIN ("test_client_crowds", tests)
