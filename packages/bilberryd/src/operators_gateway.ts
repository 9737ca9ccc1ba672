/**
 * The operators' HTTP interface: health, readiness and metrics endpoints, and a JSON API that moleculer-web serves on an
 * existing listener.
 *
 * @module
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { TokenRecord } from '@bilberryworks/operators'
import type { Registry } from 'prom-client'
import type { ServiceBroker, ServiceSchema } from 'moleculer'
import { findToken } from '@bilberryworks/operators'
import { RefusalReason } from '@bilberryworks/steering'
import moleculerWeb from 'moleculer-web'
import { describeProblem, replyError, replyProblem } from './problems.ts'

type GatewayRequest = IncomingMessage & { $ctx: { meta: Record<string, unknown> }, body?: unknown }

/** A moleculer-web service that runs as a handler of an existing listener. */
interface Gateway {
  express (): RequestListener
}

const maxDocumentSize = '1MB'

/** Options of {@linkcode createOperatorsGateway}. */
export interface CreateOperatorsGatewayOptions {
  /** Returns the valid bearer tokens. */
  tokens: () => TokenRecord[]
  /** Called for each request without a valid token. */
  countUnauthenticated: () => void
  /** Registry of the metrics that `/metrics` renders. */
  registry: Registry
  /** Whether the instance is ready, as `/readyz` reports. */
  isReady: () => boolean
}

/**
 * Creates the handler of the operators' interface.
 *
 * @param broker The broker that holds the `operators` service
 * @param options Tokens, metrics and readiness
 * @returns A handler for `node:http`
 */
export function createOperatorsGateway (broker: ServiceBroker, options: CreateOperatorsGatewayOptions): RequestListener {
  const gateway = createGateway(broker, {
    name: 'operators-gateway',
    mixins: [moleculerWeb as unknown as ServiceSchema],
    settings: {
      server: false,
      routes: [{
        path: '/v1',
        mappingPolicy: 'restrict',
        bodyParsers: { json: { limit: maxDocumentSize } },
        aliases: {
          'GET documents': 'operators.listDocuments',
          'GET documents/:service': 'operators.getDocument',
          'GET documents/:service/history': 'operators.getHistory',
          'PUT documents/:service': 'operators.putDocument',
          'GET status': 'operators.getStatus',
          'GET status/:service': 'operators.getServiceStatus'
        },
        onAfterCall: describeProblem,
        onBeforeCall (ctx: { meta: Record<string, unknown> }, _route: unknown, request: GatewayRequest) {
          ctx.meta['token'] = findToken(request.headers.authorization, options.tokens())
          ctx.meta['body'] = request.body
          ctx.meta['ifMatch'] = request.headers['if-match']
          ctx.meta['ifNoneMatch'] = request.headers['if-none-match']
          // moleculer-web would respond with status 304 to a PUT with `If-None-Match: *`, so the header field is removed.
          if (request.method === 'PUT') delete request.headers['if-none-match']
          ctx.meta['submissionId'] = request.headers['submission-id']
        }
      }],
      onError: replyError
    }
  })
  return (request, response) => {
    const methods = findMethods(request.url ?? '')
    if (methods !== undefined && !methods.includes(request.method ?? '')) {
      response.setHeader('allow', methods.join(', '))
      replyProblem(response, { status: 405, title: 'method_not_allowed', detail: `Allowed methods: ${methods.join(', ')}` })
      return
    }
    switch (request.url) {
      case '/healthz':
        replyText(response, 200, 'ok')
        break
      case '/readyz':
        replyText(response, options.isReady() ? 200 : 503, options.isReady() ? 'ready' : 'not ready')
        break
      case '/metrics':
        replyMetrics(response, options.registry)
        break
      default:
        if (findToken(request.headers.authorization, options.tokens()) === undefined) {
          options.countUnauthenticated()
          response.setHeader('www-authenticate', 'Bearer')
          replyProblem(response, { status: 401, title: RefusalReason.Unauthenticated, detail: 'A valid bearer token is required' })
        } else {
          gateway(request, response)
        }
    }
  }
}

/** Lists the HTTP methods that a path of the operators' interface allows; `undefined` for an unknown path. */
function findMethods (url: string): string[] | undefined {
  const [path = ''] = url.split('?')
  if (/^\/(healthz|readyz|metrics)$/.test(path)) return ['GET', 'HEAD']
  if (/^\/v1\/documents\/[^/]+$/.test(path)) return ['GET', 'PUT']
  if (/^\/v1\/(documents|documents\/[^/]+\/history|status|status\/[^/]+)$/.test(path)) return ['GET']
  return undefined
}

function createGateway (broker: ServiceBroker, schema: ServiceSchema): RequestListener {
  return (broker.createService(schema) as unknown as Gateway).express()
}

function replyText (response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' }).end(`${text}\n`)
}

function replyMetrics (response: ServerResponse, registry: Registry): void {
  registry.metrics().then(text => {
    response.writeHead(200, { 'content-type': registry.contentType }).end(text)
  }).catch(() => response.destroy())
}
