package org.heatherwind.gateway.crash

import kotlinx.serialization.Serializable

/**
 * A target's crash in a router's report.
 *
 * @property process the target's process
 * @property epochMilliseconds wall-clock time of the crash at the reporting router, in milliseconds since 1970
 * @property keys suspect keys of the router's requests there whose answers had not begun, or only just
 */
@Serializable
internal data class CrashReport(val process: String, val epochMilliseconds: Long, val keys: List<String>)

/**
 * Notifies another router at once of what the next reports contain.
 *
 * @property crashes crashes that the sending router observed
 * @property answers answers that clear suspects
 */
@Serializable
internal data class CrashNotice(
    val crashes: List<NoticedCrash> = emptyList(),
    val answers: List<NoticedAnswer> = emptyList(),
)

/** A crash in a [CrashNotice]; [ageMilliseconds] is the time since the crash. */
@Serializable
internal data class NoticedCrash(val process: String, val ageMilliseconds: Long, val keys: List<String>)

/** The last answer to a request with [key] began [ageMilliseconds] ago. */
@Serializable
internal data class NoticedAnswer(val key: String, val ageMilliseconds: Long)

/** The response to a [CrashNotice]: recent [answers] at the receiving router to requests with the suspect keys. */
@Serializable
internal data class CrashNoticeReceipt(val answers: List<NoticedAnswer> = emptyList())
