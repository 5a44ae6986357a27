package org.heatherwind.clients.log

import kotlinx.serialization.Serializable

/** Response of the log service to an append. */
@Serializable
public data class AppendedMessage(val offset: Long)

/** Response of the log service to a read; [oldest] is the oldest retained offset, [end] the one after the newest. */
@Serializable
public data class PageMessage(val records: List<RecordMessage>, val oldest: Long, val end: Long)

/** One record of a page; [data] is its bytes in Base64. */
@Serializable
public data class RecordMessage(val offset: Long, val data: String)
