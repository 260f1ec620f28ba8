/**
 * @file counter.c
 * The platform of the case "counter": a store whose revisions pass 2^40 while
 * a gateway runs, workers that write there as they do, and a client.
 * usage: counter DIR TROUBLE
 */
#include "rig.h"
#include <stdlib.h>
#include <string.h>

#define FIRST_HIGH  1099511627726ULL /* 50 below 2^40 */
#define FIRST_LOW   11ULL
#define WORKERS     5
#define HEARTBEAT_S 1.2
#define BEATS       12 /* the counter has passed 2^40 then */
#define APPLY_S     2.0
#define JUDGED_S    15.0

static void
configure (int version)
{
  struct rig_text text = { .size = 0 };

  rig_text_add (&text,
                "{\"version\":%d,\"limits\":{\"max_header_bytes\":16384,"
                "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                "\"idle_timeout_ms\":15000,\"tokens_per_s\":410000},"
                "\"services\":[{\"name\":\"s2\",\"health_path\":\"/health\","
                "\"max_connections\":100}],\"routes\":[",
                version);
  rig_route (&text, true, "again", "idempotent", "s2", 2, false);
  rig_text_add (&text,
                "],\"tenants\":[{\"name\":\"ana\",\"api_keys\":[\"key-1\"%s],"
                "\"priority\":1}]}",
                version == 1 ? ",\"key-2\"" : "");
  rig_store_put ("op/config", text.data, text.size);
  rig_text_free (&text);
}

int
main (int argc, char **argv)
{
  char path[RIG_TEXT];
  char id[64];
  char name[32];
  int ports[WORKERS];
  int front;
  int ready;
  int dropped = 0;
  int served = 0;
  int leaving = 0;
  int beat;
  int i;
  double acknowledged;
  char worker[32];
  static struct rig_store_side side;

  if (argc != 3)
    return 2;
  snprintf (path, sizeof path, "%s/record.txt", argv[1]);
  rig_record_open (path);
  rig_store_set_revision (strcmp (argv[2], "0") != 0 ? FIRST_HIGH : FIRST_LOW);
  for (i = 0; i < WORKERS; i++)
    {
      snprintf (name, sizeof name, "i-%d", i);
      ports[i] = rig_worker_start (name, NULL);
      rig_worker_register (name, "s2", ports[i], "ready");
    }
  configure (1);
  snprintf (path, sizeof path, "%s/settings.json", argv[1]);
  rig_gateway_settings (path, "edge-1", "za", rig_store_start (20.0, &side),
                        &front, &ready);
  printf ("settings written\n");
  fflush (stdout);
  rig_gateway_wait (ready);
  if (rig_request (front, "GET", "/again/a", "before-1", "key-1", 3000) != 200
      || rig_request (front, "GET", "/again/a", "before-2", "key-2", 3000)
             != 200)
    rig_give_up ("not served before");

  for (beat = 0; beat < BEATS; beat++)
    {
      rig_sleep (HEARTBEAT_S);
      for (i = 0; i < WORKERS; i++)
        {
          snprintf (name, sizeof name, "i-%d", i);
          rig_worker_register (name, "s2", ports[i], "ready");
        }
    }
  /* The operator takes a key away, and a worker says that it leaves. */
  configure (2);
  rig_worker_register ("i-0", "s2", ports[0], "draining");
  acknowledged = rig_now ();
  rig_sleep (APPLY_S + 1.0);
  rig_record ("requests are judged from now on");
  for (i = 0; rig_now () < acknowledged + APPLY_S + 1.0 + JUDGED_S; i++)
    {
      snprintf (id, sizeof id, "kept-%d", i);
      served
          += rig_request (front, "GET", "/again/a", id, "key-1", 3000) == 200;
      if (rig_runs_of (id, worker) > 0 && strcmp (worker, "i-0") == 0)
        leaving++;
      snprintf (id, sizeof id, "dropped-%d", i);
      rig_request (front, "GET", "/again/a", id, "key-2", 3000);
      dropped += rig_runs_of (id, NULL) > 0;
      rig_sleep (0.2);
    }
  rig_record ("of %d rounds: %d with the kept key served, %d run with the "
              "dropped key, %d run by the worker that leaves",
              i, served, dropped, leaving);
  printf ("of %d rounds: %d with the kept key served, %d run with the dropped "
          "key, %d run by the worker that leaves\n",
          i, served, dropped, leaving);
  if (served == 0)
    rig_give_up ("nothing was served");
  return dropped > 0 || leaving > 0 ? 1 : 0;
}
