package org.heatherwind.gateway.crash

import org.heatherwind.core.crash.SuspectKey
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.ReceivedRequest

/** The suspect keys of one request, computed when they are needed. The limit on headers bounds their number. */
internal class RequestKeys(work: WorkRequest, request: ReceivedRequest, partKeys: PartKeys) {
    /** The keys of the prompt's parts that other prompts may share. */
    val parts: List<SuspectKey> by lazy(LazyThreadSafetyMode.NONE) {
        work.tokens?.sharedParts.orEmpty().map { partKeys.of(it.key) }
    }

    /**
     * The keys of the prompt's shared parts, that of all requests with the same content whatever their query, and that
     * of those with the same query. The later ones are the more specific.
     */
    val all: List<SuspectKey> by lazy(LazyThreadSafetyMode.NONE) {
        val head = request.head
        val uris = listOf(request.path, head.uri()).distinct()
        parts + uris.map { SuspectKey.ofRequest(work.customer?.id, head.method().name(), it, request.body) }
    }
}
