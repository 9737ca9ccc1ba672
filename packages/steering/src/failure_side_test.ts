import test from 'ava'
import { FailureSide, getFailureSide, isLocalFailure } from './failure_side.ts'

const codesBySide: Record<FailureSide, Array<string | undefined>> = {
  [FailureSide.Local]: ['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'EAGAIN'],
  [FailureSide.LocalAddress]: ['EADDRNOTAVAIL', 'EADDRINUSE', 'EAFNOSUPPORT', 'EACCES', 'EPERM', 'EINVAL'],
  [FailureSide.Path]: ['ENETDOWN', 'ENETUNREACH', 'EHOSTDOWN', 'EHOSTUNREACH'],
  [FailureSide.Remote]: ['ECONNREFUSED', 'ECONNRESET', 'EPIPE', 'ETIMEDOUT', 'UNKNOWN', 'constructor', undefined]
}

for (const side of Object.values(FailureSide)) {
  test(`finds the side of failures: ${side}`, t => {
    for (const code of codesBySide[side]) t.is(getFailureSide(code), side, code)
    t.is(isLocalFailure(side), side.startsWith('local'))
  })
}
