/**
 * @file test_endless_store.c
 * A store whose response has no end: the call ends, and the process's memory
 * stays bounded, for one call and for several at once.
 */
#include "../platform/store.h"
#include "support/memory.h"
#include "support/suite.h"
#include "support/upstreamserver.h"
#include "transport/loop.h"
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define GROWTH_MAX_KB (MEMORY_GATEWAY_KB / 2)
#define CALLS         8
#define END_MAX_S     20
#define HEAD          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
#define CHUNKED       HEAD "Transfer-Encoding: chunked\r\n\r\n"

static unsigned int ended_count;
static unsigned int succeeded_count;

static void
on_page (void *user, int error, const struct kvstore_page *page)
{
  (void)user;
  (void)page;
  ended_count++;
  succeeded_count += error == 0;
}

static void
on_timeout (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  *(bool *)user = true;
}

static void
play (const char *script, const char *part)
{
  const struct timeval end = { .tv_sec = END_MAX_S };
  struct event_base *base = loop_new ();
  struct upstreamserver server;
  struct kvstore *store;
  struct event *timer;
  const uint64_t before_kb = memory_kb ();
  uint64_t most_kb = 0;
  bool timed_out = false;
  char address[32];
  unsigned int i;

  signal (SIGPIPE, SIG_IGN); /* as in a gateway */
  upstreamserver_init (&server, base, "");
  server.behaviour = UPSTREAMSERVER_ENDLESS_SCRIPT;
  server.script = script;
  server.script_size = strlen (script);
  server.endless_part = part;
  snprintf (address, sizeof address, "127.0.0.1:%u", server.port);
  store = store_new (base, address);
  timer = event_new (base, -1, 0, on_timeout, &timed_out);
  event_add (timer, &end);
  ended_count = succeeded_count = 0;
  for (i = 0; i < CALLS; i++)
    CU_ASSERT_EQUAL (
        store->ops->list_page (store, "op/", NULL, false, on_page, NULL), 0);
  while (ended_count < CALLS && !timed_out
         && most_kb < before_kb + GROWTH_MAX_KB)
    {
      event_base_loop (base, EVLOOP_ONCE);
      if (memory_kb () > most_kb)
        most_kb = memory_kb ();
    }
  CU_ASSERT_EQUAL (ended_count, CALLS);
  CU_ASSERT_EQUAL (succeeded_count, 0);
  CU_ASSERT (most_kb < before_kb + GROWTH_MAX_KB);
  store->ops->finish (store);
  upstreamserver_finish (&server);
  event_free (timer);
  event_base_free (base);
}

static void
test_status_line (void)
{
  play ("HTTP/1.1 200 ", NULL);
}

static void
test_header (void)
{
  play (HEAD "A: ", NULL);
}

static void
test_header_lines (void)
{
  play (HEAD, "A: b\r\n");
}

static void
test_interim (void)
{
  play ("", "HTTP/1.1 100 Continue\r\n\r\n");
}

static void
test_body (void)
{
  play (HEAD "\r\n{\"entries\":[\"", NULL);
}

static void
test_chunks (void)
{
  play (CHUNKED, "8\r\n        \r\n");
}

static void
test_chunk_size (void)
{
  play (CHUNKED, "0");
}

static void
test_chunk_extension (void)
{
  play (CHUNKED "1;", "a=b;");
}

static void
test_trailers (void)
{
  play (CHUNKED "0\r\n", "A: b\r\n");
}

static void
test_long_length (void)
{
  play (HEAD "Content-Length: 120000000\r\n\r\n", NULL);
}

static const struct suite_test tests[] = {
  { "status line without end", test_status_line },
  { "header without end", test_header },
  { "header lines without end", test_header_lines },
  { "interim responses without end", test_interim },
  { "body without end", test_body },
  { "chunks without end", test_chunks },
  { "chunk size without end", test_chunk_size },
  { "chunk extension without end", test_chunk_extension },
  { "trailers without end", test_trailers },
  { "length of more than the memory", test_long_length },
};

SUITE_MAIN ("test_endless_store", tests)
