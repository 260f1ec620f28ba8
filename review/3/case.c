/* MIXED: an answer without a length that is reset on the way looks complete.

   A server answers before it has read a long body, without a length, and
   crashes before the end of its answer: its channel is reset, as the kernel
   does when a channel with unread bytes is closed.  */
#include "rig.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLIENTS 8
#define ROUNDS 4
#define LINES 100       /* of the whole answer */
#define LINES_BEFORE 40 /* the crash */
#define LINE_SIZE 11
#define BODY_SIZE 4000000 /* bytes; limits.max_body_bytes is 4194304 */

static struct gateway gateway;
static char whole[LINES * LINE_SIZE + 1];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int looked_complete;
static int shown_as_cut;
static int whole_answers;

static bool
serve (struct server_request *request)
{
  int lines = trouble () ? LINES_BEFORE : LINES;
  char text[512];
  int size = snprintf (text, sizeof text,
                       "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                       "X-Worker-Signature: sig-1\r\n\r\n",
                       request->id);
  int i;

  send_all (request->fd, text, (size_t)size);
  for (i = 0; i < lines; i++)
    {
      send_all (request->fd, whole + i * LINE_SIZE, LINE_SIZE);
      if (i + 1 < lines)
        sleep_ms (2);
    }
  if (trouble ())
    {
      record ("server: crashes in its answer to %s, after %d of %d lines",
              request->id, lines, LINES);
      return false; /* closed with most of the body unread: a reset */
    }
  read_body (request);
  record ("server: sent all of its answer to %s", request->id);
  return false;
}

static void *
ask (void *arg)
{
  static char body[BODY_SIZE];
  int client = (int)(long)arg;
  int round;

  for (round = 0; round < ROUNDS; round++)
    {
      struct answer answer;
      char head[512];
      int fd = client_connect (&gateway);
      int size = snprintf (head, sizeof head,
                           "POST /once/report HTTP/1.1\r\n"
                           "Host: shop.example\r\nX-Attempt-Id: req-%d-%d\r\n"
                           "X-Deadline-Remaining-Ms: 3000\r\n"
                           "X-Credential: key-1\r\nContent-Length: %d\r\n\r\n",
                           client, round, BODY_SIZE);

      send_all (fd, head, (size_t)size);
      send_all (fd, body, sizeof body);
      read_answer (fd, &answer, 6000);
      record ("client: req-%d-%d gets %d, %zu bytes of %zu, %s", client, round,
              answer.status, answer.size, strlen (whole),
              answer.complete ? "complete" : "cut");
      pthread_mutex_lock (&lock);
      if (answer.status / 100 == 2 && answer.complete
          && strcmp (answer.body, whole) != 0)
        looked_complete++;
      else if (!answer.complete)
        shown_as_cut++;
      else if (answer.status / 100 == 2)
        whole_answers++;
      pthread_mutex_unlock (&lock);
      close_channel (fd);
    }
  return NULL;
}

int
main (void)
{
  pthread_t threads[CLIENTS];
  long i;

  for (i = 0; i < LINES; i++)
    sprintf (whole + i * LINE_SIZE, "entry %04ld\n", i);
  store_start ();
  put_config (1);
  server_start ("i-1", "api", 4096, serve);
  gateway_start (&gateway, "gate-1");
  for (i = 0; i < CLIENTS; i++)
    if (pthread_create (&threads[i], NULL, ask, (void *)i) != 0)
      cannot ("no thread");
  for (i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  if (!trouble () && whole_answers == 0)
    cannot ("no answer came through without the crashes");
  return finish (looked_complete > 0,
                 "%d answers that ended early looked complete, %d were shown "
                 "as cut, %d were whole",
                 looked_complete, shown_as_cut, whole_answers);
}
