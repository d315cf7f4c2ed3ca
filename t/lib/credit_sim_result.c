#include "credit_sim_private.h"

guint credit_sim_slot(const credit_sim_t *sim)
{
	return MIN((guint)(sim->now / CREDIT_SIM_SLOT), CREDIT_SIM_SLOTS - 1);
}

ms_t credit_sim_now(const credit_sim_t *sim)
{
	return sim->now;
}

void credit_sim_set_demand(credit_sim_t *sim, double demand)
{
	sim->demand = demand;
}

/* A lower limit is due once all instances have read it. */
void credit_sim_set_limit(credit_sim_t *sim, double rate, double burst)
{
	guint slot = credit_sim_slot(sim);
	guint last = MIN(slot + (guint)(VIEW_MS / CREDIT_SIM_SLOT),
			 CREDIT_SIM_SLOTS - 1);

	for (; slot <= last; slot++) {
		sim->rates[slot] = MAX(sim->rates[slot], sim->limit.rate);
		sim->bursts[slot] =
			MAX(sim->bursts[slot], credit_burst(&sim->limit));
	}
	sim->limit = (credit_limit_t){rate, burst};
}

const credit_sim_counts_t *credit_sim_counts(const credit_sim_t *sim)
{
	return &sim->counts;
}

double credit_sim_bound_use(const credit_sim_t *sim)
{
	guint window = CREDIT_WINDOW_MS / CREDIT_SIM_SLOT;
	guint last = credit_sim_slot(sim);
	double worst = 0;
	guint i;
	guint j;

	for (i = 0; i <= last; i++) {
		double sum = 0;
		double allowed = 0;
		double burst = 0;

		for (j = i; j < MIN(i + window, last + 1); j++) {
			sum += sim->ran[j];
			allowed += sim->rates[j] * CREDIT_SIM_SLOT / MS_PER_S;
			burst = MAX(burst, sim->bursts[j]);
		}
		/* A shorter window has the rate of its last slot. */
		allowed += sim->rates[j - 1] * CREDIT_SIM_SLOT / MS_PER_S *
			   (window - (j - i));
		allowed = (allowed + burst) * (1 + CREDIT_SIM_OVERAGE) +
			  sim->options.slack;
		worst = MAX(worst, sum / allowed);
	}
	return worst;
}

double credit_sim_used(const credit_sim_t *sim, ms_t since)
{
	double sum = 0;
	double allowed = 0;
	guint i;

	for (i = (guint)(since / CREDIT_SIM_SLOT); i < credit_sim_slot(sim);
	     i++) {
		sum += sim->ran[i];
		allowed += sim->rates[i] * CREDIT_SIM_SLOT / MS_PER_S;
	}
	return sum / allowed;
}

double credit_sim_ideal_used(const credit_sim_t *sim, ms_t since)
{
	double sum = 0;
	double ideal = 0;
	double allowed = 0;
	guint i;

	for (i = (guint)(since / CREDIT_SIM_SLOT); i < credit_sim_slot(sim);
	     i++) {
		sum += sim->ran[i];
		ideal += sim->ideal[i];
		allowed += sim->rates[i] * CREDIT_SIM_SLOT / MS_PER_S;
	}
	return sum / MIN(ideal, allowed);
}
