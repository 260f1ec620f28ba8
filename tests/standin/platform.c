/**
 * @file platform.c
 * Stand-in for the platform around the gateways: its store and the upstreams
 * of one service, in one process.  SIGUSR1 replaces the customer's API key;
 * SIGUSR2 skips some revisions.
 */
#include "standin/standin.h"
#include "support/storeseed.h"
#include "support/upstreamserver.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SKIPPED_REVISIONS 1000

struct platform
{
  struct storeserver store;
  struct event *replace_key;
  struct event *skip_revisions;
  uint32_t upstream_count;
  struct upstreamserver upstreams[];
};

static void on_replace_key (evutil_socket_t signal, short events, void *user);
static void on_skip_revisions (evutil_socket_t signal, short events,
                               void *user);

int
platform_init (struct server *server, const struct standin_options *options)
{
  struct platform *platform;
  uint32_t i;

  memset (server, 0, sizeof *server);
  platform = calloc (
      1, sizeof *platform + options->workers * sizeof platform->upstreams[0]);
  if (platform == NULL)
    return -1;
  server->data = platform;
  server->base = event_base_new ();
  if (server->base == NULL)
    {
      free (platform);
      return -1;
    }
  platform->upstream_count = options->workers;
  storeserver_init (&platform->store, server->base);
  platform->store.revision = options->revision;
  platform->store.oldest_revision = options->revision;
  platform->store.era = options->era;
  for (i = 0; i < options->workers; i++)
    {
      upstreamserver_init (&platform->upstreams[i], server->base,
                           "sig-standin");
      storeseed_register (&platform->store, i, platform->upstreams[i].port,
                          "ready");
    }
  storeseed_configure (&platform->store, 1, "\"key-1\"", "s2");
  platform->replace_key
      = evsignal_new (server->base, SIGUSR1, on_replace_key, platform);
  event_add (platform->replace_key, NULL);
  platform->skip_revisions
      = evsignal_new (server->base, SIGUSR2, on_skip_revisions, platform);
  event_add (platform->skip_revisions, NULL);
  printf ("listen 127.0.0.1:%u\n", platform->store.port);
  fflush (stdout);
  return 0;
}

void
platform_finish (struct server *server)
{
  struct platform *platform = server->data;
  uint32_t i;

  event_free (platform->replace_key);
  event_free (platform->skip_revisions);
  for (i = 0; i < platform->upstream_count; i++)
    upstreamserver_finish (&platform->upstreams[i]);
  storeserver_finish (&platform->store);
  event_base_loop (server->base, EVLOOP_NONBLOCK);
  event_base_free (server->base);
  free (platform);
}

static void
on_replace_key (evutil_socket_t signal, short events, void *user)
{
  struct platform *platform = user;

  (void)signal;
  (void)events;
  storeseed_configure (&platform->store, 2, "\"key-2\"", "s2");
}

static void
on_skip_revisions (evutil_socket_t signal, short events, void *user)
{
  struct platform *platform = user;

  (void)signal;
  (void)events;
  platform->store.revision += SKIPPED_REVISIONS;
}
