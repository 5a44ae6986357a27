package org.heatherwind.core.retry

/**
 * Limits on the retries of the whole fleet to a service in each window of [windowMilliseconds].
 *
 * @property ratio retries allowed for each first attempt
 * @property base retries allowed regardless of first attempts
 */
public data class RetryThrottleLimits(val ratio: Double, val base: Double, val windowMilliseconds: Long)
