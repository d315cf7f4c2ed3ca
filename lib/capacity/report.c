#include "base/json_build.h"
#include "capacity/report.h"

#include <json-glib/json-glib.h>
#include <malloc.h>
#include <string.h>
#include <time.h>

typedef struct {
	const char *name;
	const char *unit;
	int size;
	GArray *values; /* of double; sorted when the figure is rendered */
} figure_t;

struct report {
	GPtrArray *figures; /* of figure_t, ordered by their first value */
};

static void figure_free(void *data)
{
	figure_t *figure = data;

	g_array_unref(figure->values);
	g_free(figure);
}

report_t *report_create(void)
{
	report_t *report = g_new0(report_t, 1);

	report->figures = g_ptr_array_new_with_free_func(figure_free);
	return report;
}

void report_destroy(report_t *report)
{
	if (!report)
		return;
	g_ptr_array_unref(report->figures);
	g_free(report);
}

static figure_t *get_figure(report_t *report, const char *name,
			    const char *unit, int size)
{
	figure_t *figure;
	guint i;

	for (i = 0; i < report->figures->len; i++) {
		figure = report->figures->pdata[i];
		if (figure->size == size && !strcmp(figure->name, name))
			return figure;
	}
	figure = g_new0(figure_t, 1);
	figure->name = name;
	figure->unit = unit;
	figure->size = size;
	figure->values = g_array_new(FALSE, FALSE, sizeof(double));
	g_ptr_array_add(report->figures, figure);
	return figure;
}

void report_add(report_t *report, const char *name, const char *unit, int size,
		double value)
{
	figure_t *figure = get_figure(report, name, unit, size);

	g_array_append_val(figure->values, value);
}

static int compare_values(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static double value_at(const figure_t *figure, guint index)
{
	return g_array_index(figure->values, double, index);
}

static void sort_values(const figure_t *figure)
{
	g_array_sort(figure->values, compare_values);
}

char *report_table(const report_t *report)
{
	GString *text = g_string_new(NULL);
	guint i;

	g_string_append_printf(text, "%-44s %7s %12s %12s %12s %3s %s\n",
			       "figure", "size", "median", "least", "most", "n",
			       "unit");
	for (i = 0; i < report->figures->len; i++) {
		const figure_t *figure = report->figures->pdata[i];
		guint count = figure->values->len;

		sort_values(figure);
		g_string_append_printf(
			text, "%-44s %7d %12.3f %12.3f %12.3f %3u %s\n",
			figure->name, figure->size, value_at(figure, count / 2),
			value_at(figure, 0), value_at(figure, count - 1), count,
			figure->unit);
	}
	return g_string_free(text, FALSE);
}

static void add_double(JsonBuilder *builder, const char *name, double value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_double_value(builder, value);
}

static void add_figure(JsonBuilder *builder, const figure_t *figure)
{
	guint count = figure->values->len;

	sort_values(figure);
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "figure");
	json_builder_add_string_value(builder, figure->name);
	json_builder_set_member_name(builder, "unit");
	json_builder_add_string_value(builder, figure->unit);
	json_builder_set_member_name(builder, "size");
	json_builder_add_int_value(builder, figure->size);
	json_builder_set_member_name(builder, "repeats");
	json_builder_add_int_value(builder, count);
	add_double(builder, "median", value_at(figure, count / 2));
	add_double(builder, "least", value_at(figure, 0));
	add_double(builder, "most", value_at(figure, count - 1));
	json_builder_end_object(builder);
}

char *report_json(const report_t *report)
{
	JsonBuilder *builder = json_builder_new();
	guint i;

	json_builder_begin_array(builder);
	for (i = 0; i < report->figures->len; i++)
		add_figure(builder, report->figures->pdata[i]);
	json_builder_end_array(builder);
	return json_build_end(builder, TRUE);
}

double process_cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

double allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}
