/* A second response in a body that only the end of its connection ends.  A
   target that responds twice writes it where the client would take it for a
   part of the first one. */
#include <glib.h>

#include "ibisloom/extra.h"

enum scan_state
{
  SCAN_BODY,      /* for a status line */
  SCAN_LINE,      /* for the end of a line */
  SCAN_LINE_START /* for the name of a field */
};

/* Start of a status line, with # for each digit.  */
static const char status_line[] = "HTTP/1.# ###";

static void match_status_line (struct extra_scan *scan, char byte);
static int match_field (struct extra_scan *scan, const char *field, char byte);

/* Searches the next piece of a body, LENGTH bytes of DATA, for a status line
   that is followed by the header field FIELD, which all responses of targets
   have.  A status line alone may be part of a document.  Returns whether there
   is one.  */
int
extra_scan_feed (struct extra_scan *scan, const char *field, const char *data,
                 size_t length)
{
  for (size_t i = 0; i < length; i++)
    switch ((enum scan_state)scan->state)
      {
      case SCAN_BODY:
        match_status_line (scan, data[i]);
        break;
      case SCAN_LINE:
        if (data[i] == '\n')
          scan->state = SCAN_LINE_START;
        break;
      case SCAN_LINE_START:
        if (match_field (scan, field, data[i]))
          return 1;
        break;
      }
  return 0;
}

/* Matches BYTE with the next one of a status line.  */
static void
match_status_line (struct extra_scan *scan, char byte)
{
  char wanted = status_line[scan->matched];

  if (wanted == '#' ? g_ascii_isdigit (byte) : byte == wanted)
    scan->matched++;
  else
    scan->matched = byte == status_line[0];
  if (status_line[scan->matched] != '\0')
    return;
  scan->state = SCAN_LINE;
  scan->matched = 0;
}

/* Matches BYTE with the next one of the name FIELD.  An empty line ends the
   header.  Returns whether the name is complete.  */
static int
match_field (struct extra_scan *scan, const char *field, char byte)
{
  char wanted = field[scan->matched];

  if (wanted == '\0' && byte == ':')
    return 1;
  if (scan->matched == 0 && byte == '\r')
    return 0;
  if (scan->matched == 0 && byte == '\n')
    scan->state = SCAN_BODY;
  else if (byte == '\n')
    scan->state = SCAN_LINE_START;
  else if (wanted != '\0'
           && g_ascii_tolower (byte) == g_ascii_tolower (wanted))
    {
      scan->matched++;
      return 0;
    }
  else
    scan->state = SCAN_LINE;
  scan->matched = 0;
  return 0;
}
