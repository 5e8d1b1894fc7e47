import test from 'ava';
import { errorFields } from '../src/error-fields.js';

test('an error is named by class, message, code and its innermost frames without folders', (t) => {
  const cause = Object.assign(new RangeError('no such port'), {
    code: 'ERR_SOCKET_BAD_PORT',
    stack: [
      'RangeError: no such port',
      '    at connect (node:net:5:6)',
      '    at node:net:7:8',
      '    at open (file:///a/b/client.js:1:2)',
      '    at /a/b/main.js:3:4',
    ].join('\n'),
  });
  t.deepEqual(errorFields(cause), {
    error: 'RangeError: no such port',
    code: 'ERR_SOCKET_BAD_PORT',
    at: 'connect (node:net:5:6) < open (client.js:1:2) < main.js:3:4',
  });
});

test('what is thrown need not be an error, and long messages are cut', (t) => {
  t.deepEqual(errorFields('text'), { error: 'text' });
  t.is(errorFields(undefined)['error'], 'undefined');
  t.true(String(errorFields(new Error('x'.repeat(10_000)))['error']).length < 400);
});
