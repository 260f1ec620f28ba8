/**
 * @file build_record.c
 * Recorded builds of services.
 */
#include "state/build_record.h"
#include <stdlib.h>

void
build_records_finish (struct build_records *records)
{
  struct build_record *record = records->records;
  struct build_record *next;

  HASH_CLEAR (hh, records->records);
  for (; record != NULL; record = next)
    {
      next = record->hh.next;
      free (record);
    }
}

struct build_record *
build_records_get (struct build_records *records, uint64_t service_id)
{
  struct build_record *record;

  HASH_FIND (hh, records->records, &service_id, sizeof service_id, record);
  if (record != NULL)
    return record;
  record = calloc (1, sizeof *record);
  if (record == NULL)
    return NULL;
  record->service_id = service_id;
  HASH_ADD (hh, records->records, service_id, sizeof service_id, record);
  return record;
}

bool
build_records_contradict (const struct build_records *records,
                          uint64_t service_id, uint64_t single_build)
{
  const struct build_record *record;

  HASH_FIND (hh, records->records, &service_id, sizeof service_id, record);
  return record != NULL && record->build != 0 && single_build != 0
         && record->build != BUILD_RECORD_SEVERAL
         && record->build != single_build;
}

uint64_t
build_record_wanted (const struct build_record *record, uint64_t single_build,
                     bool several)
{
  uint64_t wanted = several ? BUILD_RECORD_SEVERAL : single_build;

  return wanted == record->build ? 0 : wanted;
}
