/**
 * @file procmeter.c
 * Starts and measures a process.
 */
#include "support/procmeter.h"
#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define PATH_SIZE    4096
#define STATE_LISTEN 0x0A
#define STOP_TRIES   500
#define STOP_STEP_US 20000

static uint64_t resident_kb (const struct procmeter *meter);
static uint64_t unread_bytes (const struct procmeter *meter);

bool
procmeter_start (struct procmeter *meter, const char *const *args,
                 const char *setting)
{
  char path[PATH_SIZE];
  ssize_t size = readlink ("/proc/self/exe", path, sizeof path - 1);
  const char *log = getenv ("PROCMETER_LOG");
  char *name;
  int fd;

  if (size <= 0)
    return false;
  path[size] = '\0';
  name = strrchr (path, '/');
  if (name == NULL)
    return false;
  name++;
  snprintf (name, sizeof path - (size_t)(name - path), "%s", args[0]);
  meter->pid = fork ();
  if (meter->pid != 0)
    return meter->pid > 0;
  if (setting != NULL)
    putenv (strdup (setting));
  /* Freed memory counts as free only if the sanitizer does not keep it. */
  setenv ("ASAN_OPTIONS", "quarantine_size_mb=0", 1);
  fd = open (log == NULL ? "/dev/null" : log, O_WRONLY | O_CREAT | O_APPEND,
             0644);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  execv (path, (char *const *)args);
  _exit (127);
}

int
procmeter_stop (struct procmeter *meter)
{
  int status = 0;
  int i;

  if (meter->pid <= 0)
    return -1;
  kill (meter->pid, SIGTERM);
  for (i = 0; i < STOP_TRIES; i++)
    {
      if (waitpid (meter->pid, &status, WNOHANG) != 0)
        break;
      usleep (STOP_STEP_US);
    }
  if (i == STOP_TRIES)
    {
      kill (meter->pid, SIGKILL);
      waitpid (meter->pid, &status, 0);
    }
  meter->pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

bool
procmeter_lives (struct procmeter *meter)
{
  int status;

  if (meter->pid > 0 && waitpid (meter->pid, &status, WNOHANG) != 0)
    meter->pid = 0;
  return meter->pid > 0;
}

uint64_t
procmeter_kb (const struct procmeter *meter)
{
  const uint64_t kb = resident_kb (meter) + unread_bytes (meter) / 1024;

#ifdef __SANITIZE_ADDRESS__
  return kb < meter->start_kb ? 0 : kb - meter->start_kb;
#else
  return kb;
#endif
}

static uint64_t
resident_kb (const struct procmeter *meter)
{
  char path[64];
  char line[256];
  unsigned long kb = 0;
  FILE *status;

  snprintf (path, sizeof path, "/proc/%d/status", (int)meter->pid);
  status = fopen (path, "r");
  if (status == NULL)
    return 0;
  while (fgets (line, sizeof line, status) != NULL)
    if (sscanf (line, "VmRSS: %lu kB", &kb) == 1)
      break;
  fclose (status);
  return kb;
}

/* For listening sockets the column counts pending connections. */
static uint64_t
unread_bytes (const struct procmeter *meter)
{
  FILE *table = fopen ("/proc/net/tcp", "r");
  uint64_t bytes = 0;
  char line[512];

  if (table == NULL)
    return 0;
  while (fgets (line, sizeof line, table) != NULL)
    {
      unsigned int local;
      unsigned int remote;
      unsigned int state;
      unsigned int unread;

      if (sscanf (line, " %*u: %*x:%x %*x:%x %x %*x:%x", &local, &remote,
                  &state, &unread)
              == 4
          && state != STATE_LISTEN
          && (local == meter->port || remote == meter->upstream_port))
        bytes += unread;
    }
  fclose (table);
  return bytes;
}

uint32_t
procmeter_fds (const struct procmeter *meter)
{
  char path[64];
  uint32_t count = 0;
  DIR *dir;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)meter->pid);
  dir = opendir (path);
  if (dir == NULL)
    return 0;
  while (readdir (dir) != NULL)
    count++;
  closedir (dir);
  return count - 2;
}

void
procmeter_sample (struct procmeter *meter)
{
  const uint64_t kb = procmeter_kb (meter);
  const uint32_t fds = procmeter_fds (meter);

  if (kb > meter->peak_kb)
    meter->peak_kb = kb;
  if (fds > meter->peak_fds)
    meter->peak_fds = fds;
}
