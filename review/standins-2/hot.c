/**
 * @file hot.c
 * Clients of several tenants send long requests within the operator's limits;
 * for some seconds one tenant sends 7.5 times its usual.  The platform ends a
 * process that has more memory than its settings allow.
 */
#include "site.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GATEWAYS  2
#define MEMORY_MB 260
#define BODY_MAX  4194304 /* max_body_bytes of the configuration */
#define OTHERS    20      /* clients of other tenants at each gateway */
#define TENANT    8       /* clients of the one tenant */
#define HOT       60      /* 7.5 times as many */
#define HOT_S     6
#define BEFORE_S  10
#define AFTER_S   4
#define FIRST_MS  1500 /* until a worker's first event */
#define EVENTS    110
#define EVENT_MS  60
#define LOST_MAX  3 /* more than three times */
#define COUNT_MAX 64

static const char config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-review\",\"host\":"
      "\"shop.example\",\"prefix\":\"/review/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":15000,\"target_latency_ms\":1000,\"priority\":1,"
      "\"service\":\"llm\",\"max_attempts\":1,\"auth_exempt\":false,"
      "\"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":200}],"
      "\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\","
      "\"max_connections\":620,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
      "\"slots\":128,\"kv_capacity_tokens\":719059,\"kv_token_bytes\":35136,"
      "\"link_mbps\":280000.0,\"models\":[{\"name\":\"m\"}]}}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
      "\"tokens_per_s\":410000},\"tenants\":[{\"name\":\"one\",\"api_keys\":["
      "\"key-one\"],"
      "\"priority\":1},{\"name\":\"two\",\"api_keys\":[\"key-two\"],"
      "\"priority\":1},{\"name\":\"three\",\"api_keys\":[\"key-three\"],"
      "\"priority\":1}]}";

struct client
{
  struct gateway *gateway;
  int number;
  const char *key;
  double from_s;
  double until_s;
};

static char *body;
static struct gateway *gateways[GATEWAYS];
static _Atomic int sent, whole, refused, cut, unanswered, lost, begun, other;
static _Atomic int kills;
static _Atomic bool passed_on[GATEWAYS][OTHERS + HOT][COUNT_MAX];

static bool
serve (struct worker *worker, int fd, const struct message *request,
       const char *id)
{
  char text[512];
  char event[128];
  int gateway;
  int number;
  int count;
  int i;

  begun++;
  if (sscanf (id, "edge-a-%d-%d-%d", &gateway, &number, &count) == 3)
    passed_on[gateway - 1][number][count] = true;
  note ("worker %s runs %s, %zu bytes", worker->id, id, request->size);
  sleep_ms (FIRST_MS);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
            "X-Worker-Signature: 3e1b.07\r\nContent-Type: text/event-stream"
            "\r\nTransfer-Encoding: chunked\r\n\r\n",
            id);
  if (!send_all (fd, text, strlen (text)))
    return false;
  for (i = 1; i <= EVENTS; i++)
    {
      snprintf (event, sizeof event, "id: %d\ndata: piece %d\n\n", i, i);
      snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
      if (!send_all (fd, text, strlen (text)))
        return false;
      sleep_ms (EVENT_MS);
    }
  return send_all (fd, "0\r\n\r\n", 5);
}

/* One request on a channel that is kept.  @return whether it still is. */
static bool
request (struct client *client, struct input *input, struct message *answer,
         int count, bool kept)
{
  const int gateway = client->gateway == gateways[0] ? 0 : 1;
  char id[48];
  char head[512];
  bool came;

  snprintf (id, sizeof id, "%s-%02d-%03d", client->gateway->name,
            client->number, count);
  snprintf (head, sizeof head,
            "POST /review/a HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 1460,220\r\n"
            "X-Prompt-Prefix: 5c1e07a2:800,%x:660\r\n"
            "X-Credential: %s\r\nX-Deadline-Remaining-Ms: 15000\r\n"
            "Content-Length: %d\r\n\r\n",
            id, 0x9000 + client->number * 1000 + count, client->key, BODY_MAX);
  sent++;
  if (!send_all (input->fd, head, strlen (head))
      || !send_all (input->fd, body, BODY_MAX))
    {
      cut++;
      note ("%s: the channel broke while it was sent", id);
      return false;
    }
  came = read_message (input, answer, true);
  if (!came)
    {
      cut++;
      unanswered++;
      lost += kept && passed_on[gateway][client->number][count];
      note ("%s: the channel, %s, ended without an answer; %s", id,
            kept ? "a kept one" : "a new one",
            passed_on[gateway][client->number][count] ? "a worker runs it"
                                                      : "not passed on");
      return false;
    }
  if (!answer->whole)
    {
      cut++;
      note ("%s: the channel ended within the answer, %zu bytes", id,
            answer->size);
    }
  else if (strstr (answer->first, " 200") != NULL)
    whole++;
  else if (strstr (answer->first, " 503") != NULL
           || strstr (answer->first, " 429") != NULL)
    refused++;
  else
    other++;
  if (answer->whole)
    note ("%s: %s", id, answer->first);
  came = answer->whole
         && (header (answer, "Connection") == NULL
             || strcmp (header (answer, "Connection"), "close") != 0);
  message_free (answer);
  return came;
}

static void *
run_client (void *arg)
{
  struct client *client = arg;
  struct input *input = calloc (1, sizeof *input);
  struct message *answer = malloc (sizeof *answer);
  int count = 0;
  bool kept = false;

  while (now_s () < client->from_s)
    sleep_ms (20);
  input->fd = -1;
  while (now_s () < client->until_s && count < COUNT_MAX)
    {
      if (input->fd < 0)
        {
          input->fd = dial (client->gateway->front);
          input->from = input->to = 0;
        }
      if (input->fd < 0)
        {
          sleep_ms (300);
          continue;
        }
      kept = request (client, input, answer, count++, kept);
      if (!kept)
        {
          close (input->fd);
          input->fd = -1;
        }
      sleep_ms (300);
    }
  if (input->fd >= 0)
    close (input->fd);
  free (input);
  free (answer);
  return NULL;
}

/* "A process that exceeds memory_mb is killed." */
static void *
limit_memory (void *arg)
{
  struct gateway *gateway = arg;
  long most = 0;
  long kb;

  while (gateway->running)
    {
      kb = gateway_rss_kb (gateway);
      if (kb > most + 10240)
        {
          most = kb;
          note ("%s has %ld MB", gateway->name, kb / 1024);
        }
      if (kb > MEMORY_MB * 1024L)
        {
          kills++;
          note ("the platform kills %s: %ld MB of %d", gateway->name,
                kb / 1024, MEMORY_MB);
          gateway_kill (gateway, SIGKILL);
          break;
        }
      sleep_ms (10);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  double start;
  int i;
  int j;

  if (argc != 2)
    return NOT_RUN;
  site_start (argv[1]);
  body = calloc (1, BODY_MAX);
  memset (body, 'x', BODY_MAX);
  store_port ();
  store_put ("op/config", config);
  for (i = 0; i < 4; i++)
    worker_start ("llm", 128, serve);
  for (i = 0; i < GATEWAYS; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "edge-a-%d", i + 1);
      gateways[i] = gateway_start (name, "a", MEMORY_MB);
    }
  gateways_wait_ready ();
  for (i = 0; i < GATEWAYS; i++)
    thread (limit_memory, gateways[i]);
  start = now_s ();
  for (i = 0; i < GATEWAYS; i++)
    for (j = 0; j < OTHERS + (trouble ? HOT : TENANT); j++)
      {
        struct client *client = calloc (1, sizeof *client);

        *client = (struct client){
          .gateway = gateways[i],
          .number = j,
          .key = j >= OTHERS  ? "key-one"
                 : j % 2 == 0 ? "key-two"
                              : "key-three",
          .from_s = start + j % (OTHERS + TENANT) * 0.3,
          .until_s = start + BEFORE_S + HOT_S + AFTER_S,
        };
        if (j >= OTHERS + TENANT)
          {
            /* The links, of 1,000 Mbit/s, stay far from full. */
            client->from_s
                = start + BEFORE_S
                  + (j - OTHERS - TENANT) * (HOT_S - 0.5) / (HOT - TENANT);
            client->until_s = start + BEFORE_S + HOT_S;
          }
        thread (run_client, client);
      }
  note ("%d clients at each gateway, %d of them of one tenant, %d bytes a "
        "request",
        OTHERS + TENANT, TENANT, BODY_MAX);
  sleep_ms (BEFORE_S * 1000);
  note ("%d clients of the one tenant for %d s", trouble ? HOT : TENANT,
        HOT_S);
  sleep_ms ((HOT_S + AFTER_S) * 1000 + 10000);
  note ("sent %d, run %d, answered whole %d, refused %d, other answers %d",
        sent, begun, whole, refused, other);
  note ("channels ended without a whole answer %d, without any %d, of these "
        "kept ones whose request was passed on %d; processes killed for "
        "memory %d",
        cut, unanswered, lost, kills);
  if (whole == 0)
    finish (NOT_RUN);
  finish (lost > LOST_MAX ? BROKEN : HELD);
}
