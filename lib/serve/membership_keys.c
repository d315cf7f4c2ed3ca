#include "serve/membership_keys.h"

#include <openssl/crypto.h>
#include <string.h>

#include "base/error.h"

#define KEY_SIZE_MIN 16

typedef struct {
	char *text;
	gsize size;
} secret_t;

static void secret_free(gpointer data)
{
	secret_t *secret = data;

	OPENSSL_cleanse(secret->text, secret->size);
	g_free(secret->text);
	g_free(secret);
}

static GBytes *read_secret(const char *setting, const char *path,
			   GError **error)
{
	secret_t *secret = g_new0(secret_t, 1);
	GError *cause = NULL;
	GBytes *bytes;

	if (!g_file_get_contents(path, &secret->text, &secret->size, &cause)) {
		error_set(error, ERROR_INVALID,
			  "%s; name a readable file in %s", cause->message,
			  setting);
		g_error_free(cause);
		g_free(secret);
		return NULL;
	}
	g_strchomp(secret->text);
	bytes = g_bytes_new_with_free_func(secret->text, strlen(secret->text),
					   secret_free, secret);
	if (g_bytes_get_size(bytes) >= KEY_SIZE_MIN)
		return bytes;
	error_set(error, ERROR_INVALID,
		  "%s: the membership key must have at least %d characters",
		  path, KEY_SIZE_MIN);
	g_bytes_unref(bytes);
	return NULL;
}

static channel_keys_t *load_with_previous(GBytes *current, const char *path,
					  GError **error)
{
	GBytes *previous =
		read_secret("previous_membership_key_file", path, error);
	channel_keys_t *keys = NULL;

	if (!previous)
		return NULL;
	if (g_bytes_equal(current, previous))
		error_set(error, ERROR_INVALID,
			  "%s: the previous membership key is the current one; "
			  "leave out previous_membership_key_file",
			  path);
	else
		keys = channel_keys_create(current, previous);
	g_bytes_unref(previous);
	return keys;
}

channel_keys_t *membership_keys_load(const char *current, const char *previous,
				     GError **error)
{
	GBytes *secret = read_secret("membership_key_file", current, error);
	channel_keys_t *keys;

	if (!secret)
		return NULL;
	if (*previous)
		keys = load_with_previous(secret, previous, error);
	else
		keys = channel_keys_create(secret, NULL);
	g_bytes_unref(secret);
	return keys;
}
