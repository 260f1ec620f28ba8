/* UNASKED: a request is run with another path than the client's.

   A client keeps its channel and sends its next request before the answer to
   the one before has come.  A packet is lost on the way, so that the first
   part of the next request's line arrives before that answer and the rest
   after it.  */
#include "rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS 40

static int runs;
static int changed;

static bool
serve (struct server_request *request)
{
  char want[128];
  int number = 0;

  if (!read_body (request))
    return false;
  if (sscanf (request->id, "second-%d", &number) == 1)
    {
      snprintf (want, sizeof want, "/once/accounts/%d/pay?amount=5", number);
      runs++;
      if (strcmp (request->path, want) != 0)
        {
          changed++;
          record ("server: runs %s with path \"%s\", the client sent \"%s\"",
                  request->id, request->path, want);
        }
      else
        record ("server: runs %s with path \"%s\"", request->id,
                request->path);
    }
  else
    sleep_ms (30); /* its work */
  return send_ok (request, "done");
}

int
main (void)
{
  struct gateway gateway;
  struct answer answer;
  char text[2048];
  int size;
  int cut;
  int fd;
  int i;

  store_start ();
  put_config (1);
  server_start ("i-1", "api", 0, serve);
  gateway_start (&gateway, "gate-1");
  for (i = 0; i < ROUNDS; i++)
    {
      fd = client_connect (&gateway);
      size = snprintf (text, sizeof text,
                       "GET /safe/balance HTTP/1.1\r\nHost: shop.example\r\n"
                       "X-Attempt-Id: first-%d\r\n"
                       "X-Deadline-Remaining-Ms: 3000\r\n"
                       "X-Credential: key-1\r\n\r\n",
                       i);
      send_all (fd, text, (size_t)size);
      size = snprintf (text, sizeof text,
                       "POST /once/accounts/%d/pay?amount=5 HTTP/1.1\r\n"
                       "Host: shop.example\r\nX-Attempt-Id: second-%d\r\n"
                       "X-Deadline-Remaining-Ms: 3000\r\n"
                       "X-Credential: key-1\r\nContent-Length: 0\r\n\r\n",
                       i, i);
      cut = 8 + i % 20; /* within the path */
      if (trouble ())
        {
          send_all (fd, text, (size_t)cut);
          /* The rest was lost and is sent again. */
          sleep_ms (200);
          send_all (fd, text + cut, (size_t)(size - cut));
        }
      else
        send_all (fd, text, (size_t)size);
      read_answer (fd, &answer, 3000);
      record ("client: first-%d gets %d", i, answer.status);
      read_answer (fd, &answer, 3000);
      record ("client: second-%d gets %d", i, answer.status);
      close_channel (fd);
    }
  if (runs == 0)
    cannot ("no request was run");
  return finish (changed > 0, "%d of %d requests ran with another path",
                 changed, runs);
}
