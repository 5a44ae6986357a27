package org.heatherwind.core.retry

/**
 * What the whole fleet may send again.
 *
 * @property ratio further sends that each first send earns
 * @property base further sends that are free in each window
 */
public data class RetryThrottleLimits(val ratio: Double, val base: Double, val windowMilliseconds: Long)
