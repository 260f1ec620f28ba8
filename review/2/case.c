/* UNASKED: a request that was smuggled inside another one is run.

   A client sends one request, whose body is the text of another one.  Its
   Content-Length has a space before the colon, which HTTP forbids.  */
#include "rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INNER_ID "inner-1"

static int inner_runs;
static int outer_runs;
static bool outer_body_changed;
static char inner[512];

/* A sound server: it refuses a head with white space before a colon (RFC 9112,
   section 5.1) and runs the rest. */
static bool
serve (struct server_request *request)
{
  const char *line;

  for (line = strstr (request->head, "\r\n"); line != NULL && line[2] != '\r';
       line = strstr (line + 2, "\r\n"))
    {
      size_t name = strcspn (line + 2, ": \t\r");

      if (line[2 + name] == ' ' || line[2 + name] == '\t')
        {
          static const char refusal[]
              = "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\n"
                "Content-Length: 0\r\nConnection: close\r\n\r\n";

          record ("server: refuses %s %s, a malformed head", request->method,
                  request->path);
          send_all (request->fd, refusal, sizeof refusal - 1);
          return false;
        }
    }
  if (!read_body (request))
    return false;
  record ("server: runs %s %s, id %s, %zu bytes of body", request->method,
          request->path, request->id, request->length);
  if (strcmp (request->id, INNER_ID) == 0)
    inner_runs++;
  else
    {
      outer_runs++;
      outer_body_changed |= strcmp (request->body, inner) != 0;
    }
  return send_ok (request, "done");
}

int
main (void)
{
  struct gateway gateway;
  struct answer answer;
  char text[2048];
  int size;
  int fd;

  store_start ();
  put_config (1);
  server_start ("i-1", "api", 0, serve);
  gateway_start (&gateway, "gate-1");
  snprintf (inner, sizeof inner,
            "POST /once/pay HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: " INNER_ID "\r\nX-Deadline-Remaining-Ms: 3000\r\n"
            "X-Credential: key-1\r\nContent-Length: 0\r\n\r\n");
  size = snprintf (text, sizeof text,
                   "POST /once/note HTTP/1.1\r\nHost: shop.example\r\n"
                   "X-Attempt-Id: outer-1\r\nX-Deadline-Remaining-Ms: 3000\r\n"
                   "X-Credential: key-1\r\nContent-Length%s: %zu\r\n\r\n%s",
                   trouble () ? " " : "", strlen (inner), inner);
  record ("client: sends one request, id outer-1, POST /once/note with a body "
          "of %zu bytes",
          strlen (inner));
  fd = client_connect (&gateway);
  send_all (fd, text, (size_t)size);
  do
    {
      read_answer (fd, &answer, 2000);
      if (answer.status != 0)
        record ("client: gets %d on that channel", answer.status);
    }
  while (answer.status != 0);
  close_channel (fd);
  if (!trouble () && outer_runs != 1)
    cannot ("the request was not run without the disruption");
  return finish (inner_runs > 0 || outer_body_changed,
                 "the request inside the body ran %d times; the one that was "
                 "sent ran %d times%s",
                 inner_runs, outer_runs,
                 outer_body_changed ? ", with another body" : "");
}
