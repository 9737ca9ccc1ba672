/**
 * Serves look-ups of entry instances on a `node:http` server.
 *
 * The handler calls the moleculer action directly, without moleculer-web: look-ups are the most frequent calls, and the
 * routing of moleculer-web costs more than a look-up.
 *
 * @module
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { ServiceBroker } from 'moleculer'
import type { LookUpParams, LookUpReply } from './callers_service.ts'
import { createNotRunRefusal, RefusalReason } from '@bilberryworks/steering'
import { writeRefusal } from '@bilberryworks/callers'

/** Options of {@linkcode createLookUpHandler}. */
export interface CreateLookUpHandlerOptions {
  /** Counts a look-up that was refused. */
  recordRefusal: (reason: RefusalReason) => void
}

const pathPattern = /^\/v1\/services\/([a-z0-9][a-z0-9-]{0,62})\/entries$/

/**
 * Creates the handler of the callers' `/v1` interface.
 *
 * @param broker The broker that holds the `callers` service
 * @param options The counter of refusals
 * @returns A handler for `node:http`
 */
export function createLookUpHandler (broker: ServiceBroker, options: CreateLookUpHandlerOptions): RequestListener {
  function writeReply (response: ServerResponse, reply: LookUpReply): void {
    if (reply.refusal !== undefined) {
      options.recordRefusal(reply.refusal.reason)
      writeRefusal(response, reply.refusal)
      return
    }
    const text = JSON.stringify(reply.response)
    response.writeHead(200, {
      'content-type': 'application/json; charset=utf-8',
      'content-length': Buffer.byteLength(text),
      'cache-control': `private, max-age=${reply.response.ttlSeconds}`
    }).end(text)
  }

  return (request, response) => {
    if (request.method !== 'GET' && request.method !== 'HEAD') {
      response.writeHead(405, { allow: 'GET, HEAD', 'content-length': 0 }).end()
      return
    }
    const params = parseLookUp(request)
    if (params === undefined) {
      writeReply(response, { refusal: createNotRunRefusal(RefusalReason.BadRequest, 'URL must have the form /v1/services/{service}/entries?client={ip}') })
      return
    }
    broker.call<LookUpReply, LookUpParams>('callers.listEntries', params)
      .then(reply => writeReply(response, reply))
      .catch(() => response.destroy())
  }
}

function parseLookUp (request: IncomingMessage): LookUpParams | undefined {
  const [path = '', ...queries] = (request.url ?? '').split('?')
  const service = pathPattern.exec(path)?.[1]
  const clients = queries.length === 0 ? [] : new URLSearchParams(queries.join('?')).getAll('client')
  if (service === undefined || clients.length > 1) return undefined
  return { service, client: clients[0] ?? request.socket.remoteAddress ?? '' }
}
