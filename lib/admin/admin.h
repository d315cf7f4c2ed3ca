#ifndef ADMIN_ADMIN_H
#define ADMIN_ADMIN_H

/*
 * The administration API and the web console.
 *
 *	POST /admin/validate
 *		Lists all faults of the document in the body.
 *	POST /admin/diff[?generation=N]
 *		Compares the document in the body with a generation.
 *	GET /admin/document[?generation=N]
 *		Returns the text of a generation; the ETag is its number.
 *	PUT /admin/document
 *		Commits a document; If-Match is the generation that it was
 *		edited from, or 0 if there is none.
 *	GET /admin/history
 *		Lists the kept generations, the newest first.
 *	GET /admin/status
 *		Lists the generation in force in each program of each instance.
 *	GET /admin/trace?trace=ID
 *		Collects the spans of one trace from all programs.
 *	GET /console
 *		Serves the web console.
 *	GET /status
 *		Describes this program, its instance and its generation.
 *
 * Operators are authenticated by bearer token against the document in force.
 * While no document exists, a bootstrap token may validate and commit the first
 * one.  docs/commands/hc-admin.md has the bodies and errors.
 */

#include <glib.h>
#include <uv.h>

#include "config/follower.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "kv/kv.h"

typedef struct admin admin_t;

/* The pointers are borrowed and must outlive the admin_t. */
typedef struct {
	uv_loop_t *loop;
	http_server_t *server;
	http_client_t *client; /* for requests to other programs */
	kv_t *kv;
	const char *bootstrap_sha256; /* hash of the token, or "" */
	int64_t kept_generations;     /* number of readable generations */
} admin_options_t;

/* Adds the routes to options->server, which must not listen yet. */
admin_t *admin_create(const admin_options_t *options);

/* Returns the document in force, or NULL while there is none. */
document_t *admin_document(const admin_t *admin);

/*
 * Stops the timer and following the document, so that the loop ends once no
 * request is open.
 */
void admin_stop(admin_t *admin);

/* Call after the loop has ended and the kv_t is destroyed. */
void admin_destroy(admin_t *admin);

#endif
