# Differences of ways to what stands, with two standard errors: regress/compare.
set terminal svg size 900,420 font "sans,11"
set output svg
set datafile separator "|"
set title "Difference of worth to what stands, with two standard errors"
set pointsize 0.8
set xzeroaxis
set grid ytics
set xtics rotate by -40
set bmargin 9
set offsets 0.5, 0.5, 0, 0
plot table every ::2 using 0:6:(2*$7):xticlabels(stringcolumn(2).stringcolumn(3)) \
    with yerrorbars pt 7 lc rgb "#205080" notitle
