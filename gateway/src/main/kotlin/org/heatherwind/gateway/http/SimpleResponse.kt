package org.heatherwind.gateway.http

/** A response with a status and a short body. */
internal class SimpleResponse(val status: Int, val body: ByteArray)
