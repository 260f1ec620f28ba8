/**
 * @file promise.c
 * Workers fail a part of the requests that they have run, while their liveness
 * checks are good.  Clients repeat an operation after a status that promises
 * that it has not run and never will.
 */
#include "site.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GATEWAYS        2
#define WORKERS         8
#define CLIENTS         12
#define SECONDS         6
#define FAILED_PERMILLE 450 /* srv_grey: x = 0.45 of the requests */
#define WORK_MS         30
#define REPEATS_MAX     1

static const char config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-topup\",\"host\":"
      "\"shop.example\",\"prefix\":\"/topup/\",\"route_type\":"
      "\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":150,"
      "\"priority\":2,\"service\":\"wallet\",\"max_attempts\":1,"
      "\"auth_exempt\":true,\"session_affinity\":false,\"resumable\":false}],"
      "\"services\":[{\"name\":\"wallet\",\"health_path\":\"/health\","
      "\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
      "\"tokens_per_s\":410000},\"tenants\":[]}";

struct client
{
  struct gateway *gateway[GATEWAYS];
  int number;
  double until_s;
};

static struct worker *grey;
static _Atomic int sent, run, served, promised, broken, operations, doubled;
static _Atomic bool has_run[CLIENTS][4096];
static _Atomic int runs_of[CLIENTS][4096]; /* of an operation */

/* "A worker's own 500 response [...] count as run", and only a response with
   X-Not-Executed says that the request has not. */
static bool
serve (struct worker *worker, int fd, const struct message *request,
       const char *id)
{
  static _Atomic unsigned int turn;
  unsigned int mine = turn++;
  bool fails
      = trouble && worker == grey && mine * 7919 % 1000 < FAILED_PERMILLE;
  int client;
  int operation;
  int attempt;

  (void)request;
  run++;
  if (sscanf (id, "t-%d-%d-%d", &client, &operation, &attempt) == 3)
    {
      has_run[client][operation * 2 + attempt] = true;
      if (++runs_of[client][operation] == 2)
        doubled++;
    }
  sleep_ms (WORK_MS);
  note ("worker %s has run %s, answers %s", worker->id, id,
        fails ? "503" : "200");
  if (fails)
    worker_answer (fd, "503 Service Unavailable", id, "",
                   "booked, but the receipt printer is down");
  else
    worker_answer (fd, "200 OK", id, "", "booked");
  return true;
}

/* @return the status; 0 without an answer. */
static int
send_once (int port, const char *id, int operation, struct message *answer)
{
  struct input *input = calloc (1, sizeof *input);
  char text[512];
  int status = 0;

  snprintf (text, sizeof text,
            "POST /topup/%d HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: %s\r\nX-Deadline-Remaining-Ms: 1000\r\n"
            "Content-Length: 2\r\n\r\n42",
            operation, id);
  input->fd = dial (port);
  sent++;
  if (input->fd >= 0 && send_all (input->fd, text, strlen (text))
      && read_message (input, answer, true))
    {
      status = atoi (strchr (answer->first, ' ') + 1);
      note ("client gets %s for %s, signature %s", answer->first, id,
            header (answer, "X-Worker-Signature") == NULL ? "none" : "yes");
      message_free (answer);
    }
  if (input->fd >= 0)
    close (input->fd);
  free (input);
  return status;
}

static void *
run_client (void *arg)
{
  struct client *client = arg;
  struct message *answer = malloc (sizeof *answer);
  char id[48];
  int operation;
  int attempt;
  int status;

  for (operation = 0; now_s () < client->until_s && operation < 2000;
       operation++)
    {
      operations++;
      for (attempt = 0; attempt <= REPEATS_MAX; attempt++)
        {
          snprintf (id, sizeof id, "t-%d-%d-%d", client->number, operation,
                    attempt);
          status = send_once (
              client->gateway[(client->number + attempt) % GATEWAYS]->front,
              id, operation, answer);
          served += status == 200;
          if (status != 429 && status != 503 && status != 408 && status != 421)
            break;
          promised++;
          if (has_run[client->number][operation * 2 + attempt])
            {
              broken++;
              note ("BROKEN: %s was answered %d and has run", id, status);
            }
          sleep_ms (100);
        }
      sleep_ms (100);
    }
  free (answer);
  return NULL;
}

int
main (int argc, char **argv)
{
  struct gateway *gateways[GATEWAYS];
  double start;
  int i;
  int j;

  if (argc != 2)
    return NOT_RUN;
  site_start (argv[1]);
  store_port ();
  store_put ("op/config", config);
  for (i = 0; i < WORKERS; i++)
    grey = worker_start ("wallet", 6, serve);
  for (i = 0; i < GATEWAYS; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "edge-a-%d", i + 1);
      gateways[i] = gateway_start (name, "a", 260);
    }
  gateways_wait_ready ();
  start = now_s ();
  for (i = 0; i < CLIENTS; i++)
    {
      struct client *client = calloc (1, sizeof *client);

      for (j = 0; j < GATEWAYS; j++)
        client->gateway[j] = gateways[j];
      client->number = i;
      client->until_s = start + SECONDS;
      thread (run_client, client);
    }
  sleep_ms (SECONDS * 1000 + 3000);
  note ("sent %d for %d operations, run %d, answered 200 %d, answered with a "
        "promise %d, of these run %d; operations run twice %d",
        sent, operations, run, served, promised, broken, doubled);
  if (served == 0)
    finish (NOT_RUN);
  finish (broken > 0 ? BROKEN : HELD);
}
