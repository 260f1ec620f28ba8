/**
 * @file storm.c
 * The platform of the case "storm": a store that refuses one gateway for 9 s,
 * while configurations come in quick succession; workers and a client.
 * usage: storm DIR TROUBLE
 */
#include "rig.h"
#include <stdlib.h>
#include <string.h>

#define ROUTES     2900 /* of two times big_config, at most 1,560 each */
#define VERSIONS   25   /* config_storm: for 2.0 s, one each 0.08 s */
#define GAP_S      0.08
#define OUTAGE_S   9.0 /* platform_down, nodes reset */
#define CONTACT_S  3.0
#define APPLY_S    2.0
#define OUTER_S    5.0
#define HISTORY_S  20.0
#define JUDGED_S   8.0 /* how long requests are judged */
#define SIZE_MAX_B 1048576

/* Version 1 has key-2, and its route /moved/ leads to service s2.  Versions
   from 2 on have dropped the key and lead to s3. */
static void
configure (int version)
{
  struct rig_text text = { .size = 0 };
  char name[64];
  int i;

  rig_text_add (&text,
                "{\"version\":%d,\"limits\":{\"max_header_bytes\":16384,"
                "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                "\"idle_timeout_ms\":15000,\"tokens_per_s\":410000},"
                "\"services\":[{\"name\":\"s2\",\"health_path\":\"/health\","
                "\"max_connections\":100},{\"name\":\"s3\",\"health_path\":"
                "\"/health\",\"max_connections\":100}],\"routes\":[",
                version);
  rig_route (&text, true, "again", "idempotent", "s2", 2, false);
  rig_route (&text, false, "moved", "idempotent", version == 1 ? "s2" : "s3",
             2, false);
  for (i = 0; i < ROUTES; i++)
    {
      snprintf (name, sizeof name, "more-%06d", i);
      rig_route (&text, false, name, "idempotent", "s2", 2, false);
    }
  rig_text_add (&text,
                "],\"tenants\":[{\"name\":\"ana\",\"api_keys\":[\"key-1\"%s],"
                "\"priority\":1}]}",
                version == 1 ? ",\"key-2\"" : "");
  if (text.size > SIZE_MAX_B)
    rig_give_up ("the configuration is too large");
  rig_store_put ("op/config", text.data, text.size);
  rig_text_free (&text);
}

int
main (int argc, char **argv)
{
  char path[RIG_TEXT];
  char id[64];
  char worker[32];
  bool trouble;
  int front;
  int ready;
  int dropped = 0;
  int old_service = 0;
  int served = 0;
  int i;
  double acknowledged;
  double judged_from;

  if (argc != 3)
    return 2;
  trouble = strcmp (argv[2], "0") != 0;
  snprintf (path, sizeof path, "%s/record.txt", argv[1]);
  rig_record_open (path);
  rig_worker_register ("i-2", "s2", rig_worker_start ("i-2", NULL), "ready");
  rig_worker_register ("i-3", "s3", rig_worker_start ("i-3", NULL), "ready");
  configure (1);
  snprintf (path, sizeof path, "%s/settings.json", argv[1]);
  rig_gateway_settings (path, "edge-1", "za", rig_store_start (HISTORY_S),
                        &front, &ready);
  printf ("settings written\n");
  fflush (stdout);
  rig_gateway_wait (ready);

  if (rig_request (front, "GET", "/again/a", "before-1", "key-1", 3000) != 200
      || rig_request (front, "GET", "/again/a", "before-2", "key-2", 3000)
             != 200
      || rig_request (front, "GET", "/moved/a", "before-3", "key-1", 3000)
             != 200)
    rig_give_up ("not served before the disruption");

  if (trouble)
    rig_store_set_mode (RIG_STORE_RESETS);
  rig_sleep (OUTAGE_S - VERSIONS * GAP_S - 0.5);
  for (i = 0; i < VERSIONS; i++)
    {
      configure (2 + i);
      rig_sleep (GAP_S);
    }
  acknowledged = rig_now ();
  rig_sleep (0.5);
  if (trouble)
    rig_store_set_mode (RIG_STORE_SERVES);

  /* In touch after contact_ms; the bound of a configuration, and what an
     unstable core may add to it, have passed, too. */
  judged_from = acknowledged + APPLY_S;
  if (judged_from < rig_now () + CONTACT_S + OUTER_S)
    judged_from = rig_now () + CONTACT_S + OUTER_S;
  rig_sleep (judged_from - rig_now ());
  rig_record ("requests are judged from now on");
  for (i = 0; rig_now () < judged_from + JUDGED_S; i++)
    {
      snprintf (id, sizeof id, "kept-%d", i);
      served
          += rig_request (front, "GET", "/again/a", id, "key-1", 3000) == 200;
      snprintf (id, sizeof id, "dropped-%d", i);
      rig_request (front, "GET", "/again/a", id, "key-2", 3000);
      dropped += rig_runs_of (id, NULL) > 0;
      snprintf (id, sizeof id, "moved-%d", i);
      rig_request (front, "GET", "/moved/a", id, "key-1", 3000);
      if (rig_runs_of (id, worker) > 0 && strcmp (worker, "i-2") == 0)
        old_service++;
      rig_sleep (0.5);
    }
  rig_record ("of %d rounds: %d with the kept key served, %d run with the "
              "dropped key, %d run by the old service",
              i, served, dropped, old_service);
  printf ("of %d rounds: %d with the kept key served, %d run with the dropped "
          "key, %d run by the old service\n",
          i, served, dropped, old_service);
  if (served == 0)
    rig_give_up ("nothing was served");
  return dropped > 0 || old_service > 0 ? 1 : 0;
}
