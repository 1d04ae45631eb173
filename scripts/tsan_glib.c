#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <time.h>

/*
 * GLib's locks on pthreads, for the thread sanitizer only: it can't see those
 * of a GLib that it did not instrument, and would call every access a race.
 */

static void *new_mutex(void)
{
	pthread_mutex_t *mutex = calloc(1, sizeof(*mutex));

	pthread_mutex_init(mutex, NULL);
	return mutex;
}

static void *new_cond(void)
{
	pthread_cond_t *cond = calloc(1, sizeof(*cond));
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attributes);
	return cond;
}

/* What slot holds; made at its first use, as GLib's own are. */
static void *held(gpointer *slot, void *(*make)(void))
{
	void *there = __atomic_load_n(slot, __ATOMIC_ACQUIRE);
	void *made;

	if (there != NULL)
		return there;
	made = make();
	if (__atomic_compare_exchange_n(slot, &there, made, 0, __ATOMIC_ACQ_REL,
					__ATOMIC_ACQUIRE))
		return made;
	free(made);
	return there;
}

static pthread_mutex_t *mutex_of(GMutex *mutex)
{
	return held((gpointer *)mutex, new_mutex);
}

static pthread_cond_t *cond_of(GCond *cond)
{
	return held((gpointer *)cond, new_cond);
}

void g_mutex_init(GMutex *mutex)
{
	mutex->p = NULL;
	(void)mutex_of(mutex);
}

void g_mutex_clear(GMutex *mutex)
{
	pthread_mutex_destroy(mutex_of(mutex));
	free(mutex->p);
	mutex->p = NULL;
}

void g_mutex_lock(GMutex *mutex)
{
	pthread_mutex_lock(mutex_of(mutex));
}

void g_mutex_unlock(GMutex *mutex)
{
	pthread_mutex_unlock(mutex_of(mutex));
}

gboolean g_mutex_trylock(GMutex *mutex)
{
	return pthread_mutex_trylock(mutex_of(mutex)) == 0;
}

void g_cond_init(GCond *cond)
{
	cond->p = NULL;
	(void)cond_of(cond);
}

void g_cond_clear(GCond *cond)
{
	pthread_cond_destroy(cond_of(cond));
	free(cond->p);
	cond->p = NULL;
}

void g_cond_wait(GCond *cond, GMutex *mutex)
{
	pthread_cond_wait(cond_of(cond), mutex_of(mutex));
}

void g_cond_signal(GCond *cond)
{
	pthread_cond_signal(cond_of(cond));
}

void g_cond_broadcast(GCond *cond)
{
	pthread_cond_broadcast(cond_of(cond));
}

gboolean g_cond_wait_until(GCond *cond, GMutex *mutex, gint64 end_us)
{
	struct timespec end = { end_us / G_USEC_PER_SEC,
				end_us % G_USEC_PER_SEC * 1000 };

	return pthread_cond_timedwait(cond_of(cond), mutex_of(mutex), &end) ==
	       0;
}
