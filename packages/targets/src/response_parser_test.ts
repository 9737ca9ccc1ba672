import test from 'ava'
import { createResponseParser } from './response_parser.ts'

const pieceBytes = 65_536
/** Bytes that must not be accepted of one element; far less than a heap holds. */
const maxAcceptedBytes = 262_144
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
const longChunk = `100000\r\n${'x'.repeat(1_048_576)}\r\n`

function startParser () {
  const bodies: string[] = []
  let ends = 0
  const parser = createResponseParser({
    onHead: () => false,
    onBody: part => { bodies.push(String(part)) },
    onEnd: () => { ends++ }
  })
  return { parser, bodies, countEnds: () => ends, readText: (text: string) => parser.read(Buffer.from(text, 'latin1')) }
}

const endless: Array<[title: string, start: string, piece: string, message: RegExp]> = [
  ['a status line', '', 'x'.repeat(pieceBytes), /bytes of a status line/],
  ['a header field', 'HTTP/1.1 200 OK\r\na: ', 'x'.repeat(pieceBytes), /bytes of a header section/],
  ['header fields', 'HTTP/1.1 200 OK\r\n', 'a: b\r\n'.repeat(10_000), /more than 512 header fields/],
  ['a chunk size', chunkedHead + longChunk, '0'.repeat(pieceBytes), /bytes of a chunk size with its extension/],
  ['a chunk extension', `${chunkedHead}${longChunk}5;`, 'x'.repeat(pieceBytes), /bytes of a chunk size with its extension/],
  ['bytes in place of the end of a chunk', `${chunkedHead}${longChunk}1\r\nx`, 'x'.repeat(pieceBytes), /bytes in place of the end of a chunk/],
  ['a trailer', `${chunkedHead}${longChunk}0\r\na: `, 'x'.repeat(pieceBytes), /bytes of a trailer section/],
  ['trailers', `${chunkedHead}${longChunk}0\r\n`, 'a: b\r\n'.repeat(10_000), /bytes of a trailer section/]
]
for (const [title, start, piece, message] of endless) {
  test(`rejects ${title} without end, however long the body was`, t => {
    const { readText } = startParser()
    let error = start === '' ? undefined : readText(start)
    t.is(error, undefined)
    let acceptedBytes = 0
    for (; error === undefined && acceptedBytes < maxAcceptedBytes; acceptedBytes += piece.length) error = readText(piece)
    t.regex(error?.message ?? '', message)
  })
}

const sound: Array<[title: string, text: string, body: string]> = [
  ['long header fields', `HTTP/1.1 200 OK\r\na: ${'x'.repeat(40_000)}\r\nb: ${'y'.repeat(40_000)}\r\nContent-Length: 2\r\n\r\nok`, 'ok'],
  ['long chunk extensions', `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;${'x'.repeat(16_000)}\r\no\r\n1;a=b\r\nk\r\n0\r\n\r\n`, 'ok'],
  ['trailers', `${chunkedHead}2\r\nok\r\n0\r\na: ${'x'.repeat(16_000)}\r\nb: c\r\n\r\n`, 'ok'],
  ['lines that end without a carriage return', `${chunkedHead.replaceAll('\r', '')}2\nok\n0\n\n`, 'ok']
]
for (const [title, text, body] of sound) {
  for (const readBytes of [1, 7, 4_096, pieceBytes]) {
    test(`reads responses with ${title}, ${readBytes} bytes at a time`, t => {
      const { parser, bodies, countEnds, readText } = startParser()
      const twice = text + text
      for (let index = 0; index < twice.length; index += readBytes) t.is(readText(twice.slice(index, index + readBytes)), undefined)
      t.is(bodies.join(''), body + body)
      t.is(countEnds(), 2)
      t.true(parser.isBetweenResponses())
    })
  }
}

test('does not count the response before a header section as a part of it', t => {
  const { countEnds, readText } = startParser()
  t.is(readText(`HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n${'x'.repeat(65_000)}`), undefined)
  t.is(readText(`HTTP/1.1 200 OK\r\na: ${'x'.repeat(60_000)}`), undefined)
  t.is(readText('\r\nContent-Length: 0\r\n\r\n'), undefined)
  t.is(countEnds(), 2)
})

test('passes on the chunks of one read as one part, unchanged', t => {
  const { bodies, countEnds, readText } = startParser()
  const body = Array.from({ length: 3_000 }, (_, index) => String.fromCharCode(97 + index % 26).repeat(index % 40 + 1))
  const chunks = body.map(text => `${text.length.toString(16)}\r\n${text}\r\n`).join('')
  t.is(readText(`${chunkedHead}${chunks}5\r\nab`), undefined)
  t.is(bodies.length, 1)
  t.is(readText(`cde\r\n0\r\n\r\n${chunkedHead}${chunks}0\r\n\r\n`), undefined)
  t.deepEqual(bodies, [`${body.join('')}ab`, 'cde', body.join('')])
  t.is(countEnds(), 2)
})

for (const readBytes of [1, pieceBytes]) {
  test(`keeps each byte of a field value beyond ASCII, ${readBytes} bytes at a time`, t => {
    const value = String.fromCharCode(...Array.from({ length: 128 }, (_, index) => 128 + index))
    const values: Array<string | undefined> = []
    const parser = createResponseParser({
      onHead (head) {
        values.push(head.fields['a'])
        return true
      },
      onBody: () => {},
      onEnd: () => {}
    })
    const bytes = Buffer.from(`HTTP/1.1 200 OK\r\na: x${value}x\r\n\r\n`, 'latin1')
    for (let index = 0; index < bytes.length; index += readBytes) t.is(parser.read(bytes.subarray(index, index + readBytes)), undefined)
    t.deepEqual(values, [`x${value}x`])
  })
}
