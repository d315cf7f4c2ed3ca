#include "config/validate.h"

static void fault_free(gpointer data)
{
	fault_t *fault = data;

	g_free(fault->path);
	g_free(fault->cause);
	g_free(fault->remedy);
	g_free(fault);
}

faults_t *faults_create(void)
{
	faults_t *faults = g_new0(faults_t, 1);

	faults->list = g_ptr_array_new_with_free_func(fault_free);
	return faults;
}

void faults_destroy(faults_t *faults)
{
	g_ptr_array_free(faults->list, TRUE);
	g_free(faults);
}

void faults_add(faults_t *faults, const char *path, int line, char *cause,
		char *remedy)
{
	fault_t *fault = g_new0(fault_t, 1);

	fault->path = g_strdup(path);
	fault->line = line;
	fault->cause = cause;
	fault->remedy = remedy;
	faults->count++;
	if (faults->list->len < FAULTS_MAX)
		g_ptr_array_add(faults->list, fault);
	else
		fault_free(fault);
}
