/**
 * @file platform.c
 * Stand-in for the users' platform: its store and workers of one service in
 * one process.  SIGUSR1 takes the customer's key away and gives it another.
 */
#include "standin/standin.h"
#include "support/platscene.h"
#include "support/platworker.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct scene
{
  struct platstore store;
  struct event *change;
  uint32_t worker_count;
  struct platworker workers[];
};

static void on_change (evutil_socket_t signal, short events, void *user);

int
platform_init (struct server *server, const struct standin_options *options)
{
  struct scene *scene;
  uint32_t i;

  memset (server, 0, sizeof *server);
  scene = calloc (1,
                  sizeof *scene + options->workers * sizeof scene->workers[0]);
  if (scene == NULL)
    return -1;
  server->data = scene;
  server->base = event_base_new ();
  if (server->base == NULL)
    {
      free (scene);
      return -1;
    }
  scene->worker_count = options->workers;
  platstore_init (&scene->store, server->base);
  for (i = 0; i < options->workers; i++)
    {
      platworker_init (&scene->workers[i], server->base, "sig-standin");
      platscene_announce (&scene->store, i, scene->workers[i].port, "ready");
    }
  platscene_configure (&scene->store, 1, "\"key-1\"", "s2");
  scene->change = evsignal_new (server->base, SIGUSR1, on_change, scene);
  event_add (scene->change, NULL);
  printf ("listen 127.0.0.1:%u\n", scene->store.port);
  fflush (stdout);
  return 0;
}

void
platform_finish (struct server *server)
{
  struct scene *scene = server->data;
  uint32_t i;

  event_free (scene->change);
  for (i = 0; i < scene->worker_count; i++)
    platworker_finish (&scene->workers[i]);
  platstore_finish (&scene->store);
  event_base_loop (server->base, EVLOOP_NONBLOCK);
  event_base_free (server->base);
  free (scene);
}

static void
on_change (evutil_socket_t signal, short events, void *user)
{
  struct scene *scene = user;

  (void)signal;
  (void)events;
  platscene_configure (&scene->store, 2, "\"key-2\"", "s2");
}
