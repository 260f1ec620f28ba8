/**
 * @file admit.c
 * Room at engines.
 */
#include "state/admit.h"

/* An engine is handed what it will begin within so long: enough that it never
   idles for a round trip, and little that the order of the line is undone. */
#define ROOM_MS 250
/* Of reading that an engine may have ahead to take a prompt from its home. */
#define IDLE_MS 60
/* Crowding beyond which nothing is spared for reading again. */
#define SPARE_CROWDING 0.5
/* Customers that differ by less than a large request are alike. */
#define SLACK_TOKENS 20000
/* Most that one which has had less finds, in rooms: it passes what the others
   have sent while nobody had told of it. */
#define PART_MAX 2.0

void
admit_count (struct admit_room *room, const struct roster *roster,
             uint64_t service_id, const struct pace *pace)
{
  const uint64_t most = pace_tokens (pace, ROOM_MS);
  const struct roster_upstream *upstream;
  uint64_t ahead;

  for (upstream = roster->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (!roster_usable (upstream, service_id))
        continue;
      ahead = roster_ahead_tokens (upstream);
      room->taken_tokens += (double)(ahead < most ? ahead : most);
      room->room_tokens += (double)most;
    }
}

void
admit_wait (struct admit_room *room, uint64_t wanted_tokens)
{
  room->taken_tokens += (double)wanted_tokens;
}

double
admit_crowding (const struct admit_room *room)
{
  if (room->taken_tokens * 2 >= room->room_tokens)
    return 1;
  return room->taken_tokens * 2 / room->room_tokens;
}

double
admit_part (uint64_t had_tokens, uint64_t others_had_tokens, double most)
{
  double part;

  if (others_had_tokens == UINT64_MAX)
    return 1;
  part = ((double)others_had_tokens + SLACK_TOKENS)
         / ((double)had_tokens + SLACK_TOKENS);
  part = part * part * part;
  return part > most ? most : part;
}

uint64_t
admit_room_tokens (const struct pace *pace,
                   const struct admit_request *request)
{
  double room_ms = request->away ? IDLE_MS : ROOM_MS;
  double most = request->away ? 1 : PART_MAX;
  double part;

  if (request->others_had_tokens == UINT64_MAX)
    return pace_tokens (pace, (uint32_t)room_ms);
  part = admit_part (request->had_tokens, request->others_had_tokens, most);
  room_ms *= 1 - (1 - part) * request->crowding;
  return pace_tokens (pace, (uint32_t)room_ms);
}

uint64_t
admit_turn_tokens (const struct pace *pace, uint32_t turn_ms)
{
  return pace_tokens (pace, ROOM_MS + turn_ms);
}

uint32_t
admit_patience_permille (bool waits, uint64_t waited_ns, uint64_t total_ns,
                         double crowding)
{
  return waits && (waited_ns < total_ns / 2 || crowding > SPARE_CROWDING)
             ? ADMIT_PATIENT_PERMILLE
             : ADMIT_IMPATIENT_PERMILLE;
}
