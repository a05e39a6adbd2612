/* Output that is buffered for a client until its socket accepts it.  */
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "ibisloom/buffer.h"
#include "libclient.h"

enum
{
  SEND_BLOCKS_MAX = 8 /* with one system call */
};

/* Bytes from START to END of DATA are yet to be sent.  */
struct output_block
{
  size_t start;
  size_t end;
  char data[BUF_OWN_BYTES - 2 * sizeof (size_t)];
};

static struct output_block *last_block (struct client_output *output);
static void drop_sent (struct client_output *output, size_t sent);

/* Appends LENGTH bytes of DATA to OUTPUT.  */
void
client_output_append (struct client_output *output, const char *data,
                      size_t length)
{
  while (length > 0)
    {
      struct output_block *block = last_block (output);
      size_t part = MIN (length, sizeof block->data - block->end);

      memcpy (block->data + block->end, data, part);
      block->end += part;
      output->length += part;
      data += part;
      length -= part;
    }
}

/* Sends as much of OUTPUT as the socket FD accepts, and frees it.  Returns how
   many bytes that are, or -1 with errno set.  */
ssize_t
client_output_send (struct client_output *output, int fd)
{
  struct iovec parts[SEND_BLOCKS_MAX];
  struct msghdr message = { .msg_iov = parts };
  ssize_t sent;

  for (GList *at = output->blocks.head;
       at != NULL && message.msg_iovlen < SEND_BLOCKS_MAX; at = at->next)
    {
      struct output_block *block = at->data;

      parts[message.msg_iovlen].iov_base = block->data + block->start;
      parts[message.msg_iovlen].iov_len = block->end - block->start;
      message.msg_iovlen++;
    }
  if (message.msg_iovlen == 0)
    return 0;
  sent = sendmsg (fd, &message, MSG_NOSIGNAL);
  if (sent > 0)
    drop_sent (output, (size_t)sent);
  return sent;
}

/* Takes the blocks of OUTPUT from the pool, or records that it has too little
   left.  */
void
client_output_reserve (struct client_output *output)
{
  output->is_crowded
      = buf_reserve (BUF_OUTPUT, &output->share,
                     output->blocks.length * sizeof (struct output_block))
        != 0;
}

/* Frees OUTPUT, which is empty or of no use.  */
void
client_output_clear (struct client_output *output)
{
  while (output->blocks.head != NULL)
    g_free (g_queue_pop_head (&output->blocks));
  output->length = 0;
  client_output_reserve (output);
}

/* Returns a block at the end of OUTPUT that has room.  */
static struct output_block *
last_block (struct client_output *output)
{
  struct output_block *block = g_queue_peek_tail (&output->blocks);

  if (block != NULL && block->end < sizeof block->data)
    return block;
  block = g_new (struct output_block, 1);
  block->start = 0;
  block->end = 0;
  g_queue_push_tail (&output->blocks, block);
  client_output_reserve (output);
  return block;
}

/* Frees the first SENT bytes of OUTPUT.  */
static void
drop_sent (struct client_output *output, size_t sent)
{
  output->length -= sent;
  while (sent > 0)
    {
      struct output_block *block = g_queue_peek_head (&output->blocks);
      size_t part = MIN (sent, block->end - block->start);

      block->start += part;
      sent -= part;
      if (block->start == block->end)
        g_free (g_queue_pop_head (&output->blocks));
    }
  client_output_reserve (output);
}
