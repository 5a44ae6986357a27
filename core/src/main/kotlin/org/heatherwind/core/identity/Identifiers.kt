package org.heatherwind.core.identity

import kotlinx.serialization.Serializable

/** Identifies a prepaid budget. Unique in the fleet. */
@Serializable
@JvmInline
public value class BudgetId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a customer, who owns one or more budgets. */
@Serializable
@JvmInline
public value class CustomerId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an instance: a machine that runs one router process. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a data centre of a region. */
@Serializable
@JvmInline
public value class DataCentreId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a service that callers address, such as a model. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a target, a back end of a service. */
@Serializable
@JvmInline
public value class TargetId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a request for billing. Two arrivals with the same key are the same request. */
@Serializable
@JvmInline
public value class RequestKey(public val value: String) {
    override fun toString(): String = value
}

/**
 * Identifies one attempt to reserve tokens for a request at one shard owner. A request that arrives again, or that is
 * attempted at another shard owner, gets a new identifier, so that a delayed message about an earlier attempt cannot
 * end a later one. It begins with the incarnation of the entry router and a slash.
 */
@Serializable
@JvmInline
public value class ReservationId(public val value: String) {
    /** The incarnation of the entry router. */
    public val entry: Incarnation get() = Incarnation(value.substringBefore('/'))

    override fun toString(): String = value
}

/** Identifies a non-idempotent request, derived from the budget and the caller's idempotency key. */
@Serializable
@JvmInline
public value class AttemptKey(public val value: String) {
    override fun toString(): String = value
}

/** SHA-256 of a caller's key or of a request body, in lower-case [hexadecimal] digits. */
@Serializable
@JvmInline
public value class Digest(public val hexadecimal: String) {
    override fun toString(): String = hexadecimal
}
