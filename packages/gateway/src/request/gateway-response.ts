/** Responses of the gateway itself. Their codes are stable and listed in docs/reference/errors.md. */
export type GatewayResponse =
  | { readonly kind: 'no-route' }
  | { readonly kind: 'unauthorized'; readonly detail: string }
  /** The caller's tenant has used up its quota, which counts across all nodes; the request has not run. */
  | { readonly kind: 'over-quota'; readonly retryAfterMs: number }
  | { readonly kind: 'bad-request'; readonly detail: string }
  | { readonly kind: 'headers-too-large' }
  | { readonly kind: 'body-too-large' }
  /** The node knows no configuration yet. */
  | { readonly kind: 'not-ready'; readonly retryAfterMs: number }
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: number | undefined }
  | { readonly kind: 'outcome-unknown'; readonly detail: string }
  | { readonly kind: 'timed-out'; readonly mayHaveRun: boolean };

/** HTTP status of a response. 429 and 503 promise that the request has not run and never will. */
export function statusOf(response: GatewayResponse): number {
  switch (response.kind) {
    case 'no-route':
      return 404;
    case 'unauthorized':
      return 401;
    case 'over-quota':
      return 429;
    case 'bad-request':
      return 400;
    case 'body-too-large':
      return 413;
    case 'headers-too-large':
      return 431;
    case 'not-ready':
    case 'not-run':
      return 503;
    case 'outcome-unknown':
      return 502;
    case 'timed-out':
      return response.mayHaveRun ? 504 : 503;
  }
}

/** Milliseconds after which the client may retry, if a retry is useful. */
export function retryAfterOf(response: GatewayResponse): number | undefined {
  return 'retryAfterMs' in response ? response.retryAfterMs : undefined;
}
