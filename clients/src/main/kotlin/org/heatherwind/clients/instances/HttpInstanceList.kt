package org.heatherwind.clients.instances

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.Json

/** HTTP client of the instance list at [baseAddress]. */
public class HttpInstanceList(private val client: HttpClient, private val baseAddress: String) : InstanceList {
    @Suppress("TooGenericExceptionCaught")
    override suspend fun read(): Either<InstanceListFailure, List<ListedInstance>> = try {
        val response = client.get("$baseAddress/instances") { timeout { requestTimeoutMillis = TIMEOUT_MILLISECONDS } }
        if (response.status.isSuccess()) {
            Json.decodeFromString<List<ListedInstance>>(response.bodyAsText()).right()
        } else {
            InstanceListFailure("status ${response.status.value}").left()
        }
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        InstanceListFailure(failure.message ?: failure.javaClass.simpleName).left()
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 2_000L
    }
}
