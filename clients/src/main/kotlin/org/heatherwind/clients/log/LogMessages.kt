package org.heatherwind.clients.log

import kotlinx.serialization.Serializable

/** The log service's answer to an append. */
@Serializable
public data class AppendedMessage(val offset: Long)

/** The log service's answer to a read. */
@Serializable
public data class PageMessage(val records: List<RecordMessage>, val oldest: Long, val end: Long)

/** One record of a page; [data] is its bytes in Base64. */
@Serializable
public data class RecordMessage(val offset: Long, val data: String)
