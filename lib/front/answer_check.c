#include "front/answer_check.h"

/* Successes without a body, or with a part of one. */
#define STATUS_NO_CONTENT    204
#define STATUS_RESET_CONTENT 205
#define STATUS_PARTIAL	     206

static gboolean has_whole_body(int status)
{
	return status != STATUS_NO_CONTENT && status != STATUS_RESET_CONTENT &&
	       status != STATUS_PARTIAL;
}

answer_use_t answer_check(const answer_facts_t *facts, const char **why)
{
	if (facts->status < 200 || facts->status >= 300)
		return ANSWER_HOLD;
	*why = NULL;
	if (!facts->is_signed)
		*why = "a success without the endpoint's signature";
	else if (facts->is_encoded)
		*why = "a success with a content coding";
	else if (facts->is_begun && !facts->is_stream)
		*why = "a second answer";
	else if (facts->is_begun && !has_whole_body(facts->status))
		*why = "a resumed stream without its events";
	else if (facts->is_begun && !facts->is_event_stream)
		*why = "a resumed stream of another content type";
	return *why ? ANSWER_REFUSE : ANSWER_RELAY;
}
