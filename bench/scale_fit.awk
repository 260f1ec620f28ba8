# Fits the columns of the table of scale.sh by least squares: linearly with at
# least 3 points and quadratically with at least 4, over routers (16 customers,
# no changes), over customers (7 routers, no changes) and over changes (7
# routers, 16 customers).  The residual is the root of the mean squared relative
# error.
NR == 1 { for (i = 1; i <= NF; i++) name[i] = $i; next }
{
  rows++
  for (i = 1; i <= NF; i++)
    cell[rows, i] = $i
}

# Selects the points with two given column values into x, y and n.
function take (column, over, k1, v1, k2, v2,    r)
{
  n = 0
  for (r = 1; r <= rows; r++)
    if (cell[r, k1] == v1 && cell[r, k2] == v2 && cell[r, column] != "unknown")
      {
        n++
        x[n] = cell[r, over] + 0
        y[n] = cell[r, column] + 0
      }
}

function residual (a, b, c,    i, e, sum)
{
  for (i = 1; i <= n; i++)
    {
      e = a + b * x[i] + c * x[i] * x[i]
      sum += y[i] != 0 ? ((e - y[i]) / y[i]) ^ 2 : 0
    }
  return n ? sqrt (sum / n) : 0
}

function line (    i, sx, sy, sxx, sxy, d)
{
  for (i = 1; i <= n; i++)
    {
      sx += x[i]; sy += y[i]; sxx += x[i] * x[i]; sxy += x[i] * y[i]
    }
  d = n * sxx - sx * sx
  if (d == 0)
    return 0
  slope = (n * sxy - sx * sy) / d
  start = (sy - slope * sx) / n
  return 1
}

function det (a, b, c, d, e, f, g, h, i)
{
  return a * (e * i - f * h) - b * (d * i - f * g) + c * (d * h - e * g)
}

function parabola (    i, s0, s1, s2, s3, s4, t0, t1, t2, d)
{
  for (i = 1; i <= n; i++)
    {
      s0++; s1 += x[i]; s2 += x[i] ^ 2; s3 += x[i] ^ 3; s4 += x[i] ^ 4
      t0 += y[i]; t1 += x[i] * y[i]; t2 += x[i] ^ 2 * y[i]
    }
  d = det(s0, s1, s2, s1, s2, s3, s2, s3, s4)
  if (d == 0)
    return 0
  qa = det(t0, s1, s2, t1, s2, s3, t2, s3, s4) / d
  qb = det(s0, t0, s2, s1, t1, s3, s2, t2, s4) / d
  qc = det(s0, s1, t0, s1, s2, t1, s2, s3, t2) / d
  return 1
}

function report (column, over)
{
  if (n >= 3 && line())
    printf "fit %s over %s linear %.6g + %.6g x residual %.1f%%\n", name[column], name[over], start, slope, 100 * residual(start, slope, 0)
  if (n >= 4 && parabola())
    printf "fit %s over %s quadratic %.6g + %.6g x + %.6g x^2 residual %.1f%%\n", name[column], name[over], qa, qb, qc, 100 * residual(qa, qb, qc)
}

END {
  for (column = 4; column <= 8; column++)
    {
      take(column, 1, 2, 16, 3, 0); report(column, 1)
      take(column, 2, 1, 7, 3, 0); report(column, 2)
      take(column, 3, 1, 7, 2, 16); report(column, 3)
    }
}
