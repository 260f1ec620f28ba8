/**
 * @file storm.c
 * The platform of the case "storm": a store that refuses one gateway of three
 * for 9 s, while configurations come in quick succession; workers and a
 * client. usage: storm DIR TROUBLE
 */
#include "rig.h"
#include <stdlib.h>
#include <string.h>

#define GATEWAYS   3
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

/** Requests that were sent to a gateway, and how they were handled. */
struct tally
{
  int rounds;
  int served;
  int dropped;     /* run with the dropped key */
  int old_service; /* run by the service that the route led to before */
};

static void
send_round (int gateway, int front, struct tally *tally)
{
  const int number = tally->rounds++;
  char worker[32];
  char id[64];

  snprintf (id, sizeof id, "kept-%d-%d", gateway, number);
  tally->served
      += rig_request (front, "GET", "/again/a", id, "key-1", 3000) == 200;
  snprintf (id, sizeof id, "dropped-%d-%d", gateway, number);
  rig_request (front, "GET", "/again/a", id, "key-2", 3000);
  tally->dropped += rig_runs_of (id, NULL) > 0;
  snprintf (id, sizeof id, "moved-%d-%d", gateway, number);
  rig_request (front, "GET", "/moved/a", id, "key-1", 3000);
  if (rig_runs_of (id, worker) > 0 && strcmp (worker, "i-2") == 0)
    tally->old_service++;
}

int
main (int argc, char **argv)
{
  static struct rig_store_side sides[2];
  struct tally tallies[GATEWAYS] = { { .rounds = 0 } };
  char path[RIG_TEXT];
  char id[64];
  int store_port;
  int refused_port;
  int front[GATEWAYS];
  int ready[GATEWAYS];
  bool trouble;
  int broken = 0;
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
  store_port = rig_store_start (HISTORY_S, &sides[0]);
  refused_port = rig_store_start (HISTORY_S, &sides[1]);
  for (i = 0; i < GATEWAYS; i++)
    {
      snprintf (path, sizeof path, "%s/settings.%d", argv[1], i + 1);
      snprintf (id, sizeof id, "edge-%d", i + 1);
      rig_gateway_settings (path, id, "za", i == 0 ? refused_port : store_port,
                            &front[i], &ready[i]);
    }
  printf ("settings written\n");
  fflush (stdout);
  for (i = 0; i < GATEWAYS; i++)
    rig_gateway_wait (ready[i]);
  /* A fleet that starts for the first time lists its members after 1.5 s. */
  rig_sleep (2.0);
  for (i = 0; i < GATEWAYS; i++)
    {
      struct tally before = { .rounds = 0 };

      send_round (10 + i, front[i], &before);
      if (before.served != 1 || before.dropped != 1)
        rig_give_up ("not served before the disruption");
    }

  if (trouble)
    rig_store_set_mode (&sides[1], RIG_STORE_RESETS);
  rig_sleep (OUTAGE_S - VERSIONS * GAP_S - 0.5);
  for (i = 0; i < VERSIONS; i++)
    {
      configure (2 + i);
      rig_sleep (GAP_S);
    }
  acknowledged = rig_now ();
  rig_sleep (0.5);
  if (trouble)
    rig_store_set_mode (&sides[1], RIG_STORE_SERVES);

  /* In touch after contact_ms; the bound of a configuration, and what an
     unstable core may add to it, have passed, too. */
  judged_from = acknowledged + APPLY_S;
  if (judged_from < rig_now () + CONTACT_S + OUTER_S)
    judged_from = rig_now () + CONTACT_S + OUTER_S;
  rig_sleep (judged_from - rig_now ());
  rig_record ("requests are judged from now on");
  while (rig_now () < judged_from + JUDGED_S)
    {
      for (i = 0; i < GATEWAYS; i++)
        send_round (i + 1, front[i], &tallies[i]);
      rig_sleep (0.5);
    }
  for (i = 0; i < GATEWAYS; i++)
    {
      const struct tally *tally = &tallies[i];

      rig_record ("gateway %d: of %d rounds %d served with the kept key, %d "
                  "run with the dropped key, %d run by the old service",
                  i + 1, tally->rounds, tally->served, tally->dropped,
                  tally->old_service);
      printf ("gateway %d: of %d rounds %d served with the kept key, %d run "
              "with the dropped key, %d run by the old service\n",
              i + 1, tally->rounds, tally->served, tally->dropped,
              tally->old_service);
      if (tally->served == 0)
        rig_give_up ("nothing was served");
      broken += tally->dropped + tally->old_service;
    }
  return broken > 0 ? 1 : 0;
}
