/* Files of records, HTTP calls to the fake servers, and quantiles. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "load.h"

enum
{
  FETCH_TIMEOUT_MS = 10000
};

static int compare_doubles (const void *a, const void *b);
static size_t on_data (char *data, size_t size, size_t count, void *closure);

/* Writes RECORDS to file PATH, to be read by load_read_records.  Ends the
   process if it cannot be written.  */
void
load_write_records (const char *path, const GArray *records)
{
  FILE *file = fopen (path, "wb");

  if (file == NULL
      || fwrite (records->data, sizeof (struct load_record), records->len,
                 file)
             != records->len)
    {
      fprintf (stderr, "ibisload: cannot write %s\n", path);
      exit (EXIT_FAILURE);
    }
  fclose (file);
}

/* Returns the records in file PATH.  Ends the process if it cannot be
   opened.  */
GArray *
load_read_records (const char *path)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (struct load_record));
  struct load_record record;
  FILE *file = fopen (path, "rb");

  if (file == NULL)
    {
      fprintf (stderr, "ibisload: cannot read %s\n", path);
      exit (EXIT_FAILURE);
    }
  while (fread (&record, sizeof record, 1, file) == 1)
    g_array_append_val (records, record);
  fclose (file);
  return records;
}

/* Sends GET PATH to PORT of the loopback address.  Returns the body, which the
   caller frees, or NULL if the transfer failed.  */
char *
load_http_get (int port, const char *path)
{
  GString *text = g_string_new (NULL);
  CURL *easy = curl_easy_init ();
  char url[256];
  CURLcode code;

  g_snprintf (url, sizeof url, "http://127.0.0.1:%d%s", port, path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)FETCH_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  code = curl_easy_perform (easy);
  curl_easy_cleanup (easy);
  return g_string_free (text, code != CURLE_OK);
}

/* Appends a part of the body.  */
static size_t
on_data (char *data, size_t size, size_t count, void *closure)
{
  g_string_append_len (closure, data, (gssize)(size * count));
  return size * count;
}

/* Sorts VALUES and returns their quantile Q, or 0 if there are none.  */
double
load_quantile (GArray *values, double q)
{
  if (values->len == 0)
    return 0;
  qsort (values->data, values->len, sizeof (double), compare_doubles);
  return g_array_index (values, double,
                        MIN ((guint)(q * values->len), values->len - 1));
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}
