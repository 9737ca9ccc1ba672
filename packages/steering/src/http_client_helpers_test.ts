import test from 'ava'
import { isUnsentError } from './http_client_helpers.ts'

for (const [title, error, isUnsent] of [
  ['a connection that the host refused', { code: 'EMFILE', syscall: 'connect' }, true],
  ['a connection without a local port', { code: 'EADDRNOTAVAIL', syscall: 'connect' }, true],
  ['a connection that was refused', { code: 'ECONNREFUSED' }, true],
  ['a connection that broke', { code: 'ECONNRESET', syscall: 'read' }, false],
  ['a write without buffers', { code: 'ENOBUFS', syscall: 'write' }, false],
  ['an error without a code', {}, false]
] as const) {
  test(`tells whether a byte of a request may have been sent: ${title}`, t => {
    t.is(isUnsentError(Object.assign(new Error('failed'), error)), isUnsent)
  })
}
